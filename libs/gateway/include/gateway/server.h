// One gateway: forwards callers' requests to upstreams.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "gateway/protocol.h"
#include "gateway/settings.h"

namespace burdockdeck::gateway {

struct gateway_error {
    std::string message;
};

class gateway_server {
public:
    [[nodiscard]] static result<std::unique_ptr<gateway_server>, gateway_error> create(
        const gateway_settings& settings, caller_protocol protocol);
    ~gateway_server();

    // Reports not ready, finishes open requests within the grace time, then calls `finished`.
    void stop(std::function<void()> finished);
    // Applies the settings that may change at run time: the seeds.
    void reload(const gateway_settings& settings);

private:
    struct state;
    explicit gateway_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::gateway
