// One control instance: the replicated log, the fleet's state, and the services for peers, entries,
// agents and operators.
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
    // Opens the data folder and starts to serve. `failed` is called if the disk fails later; where
    // the settings have a `site`, the instance instead falls silent until the disk takes writes.
    // `protocol` is what operators and upstreams of the site speak.
    [[nodiscard]] static result<std::unique_ptr<control_server>, control_error> create(
        const control_settings& settings, std::function<void()> failed,
        std::optional<site_protocol> protocol = std::nullopt);
    ~control_server();

    // Ends watches and calls in hand, then calls `finished`.
    void stop(std::function<void()> finished);
    // Takes over what may change while running: the seeds.
    void reload(const control_settings& settings);

private:
    struct state;
    // An instance of a site without a data folder: it serves its metrics and nothing else.
    [[nodiscard]] static result<std::unique_ptr<control_server>, control_error> create_idle(
        const control_settings& settings, const runtime::rpc_access& access);
    explicit control_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::control
