// One control instance: replicated log, fleet state, and the services for peers, entries, agents
// and operators.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "control/settings.h"
#include "control/site_protocol.h"

namespace burdockdeck::runtime {
class rpc_access;
}

namespace burdockdeck::control {

struct control_error {
    std::string message;
};

class control_server {
public:
    // Opens the data folder and starts serving. `failed` is called if the disk fails later. If the
    // settings have a `site`, the instance instead stops taking part in consensus until the disk is
    // writable again.
    // `protocol` decodes the calls of the site's operators and upstreams.
    [[nodiscard]] static result<std::unique_ptr<control_server>, control_error> create(
        const control_settings& settings, std::function<void()> failed,
        std::optional<site_protocol> protocol = std::nullopt);
    ~control_server();

    // Hands this instance's vote over to another one if the settings have a `site`. Then ends
    // watches and pending calls, and calls `finished`.
    void stop(std::function<void()> finished);
    // Applies the settings that may change while running: the seeds.
    void reload(const control_settings& settings);

private:
    struct state;
    // Creates an instance of a site without a data folder, which only tells where the others are.
    [[nodiscard]] static result<std::unique_ptr<control_server>, control_error> create_directory(
        const control_settings& settings, const runtime::rpc_access& access,
        site_protocol protocol);
    explicit control_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::control
