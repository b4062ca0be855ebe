// Server of one sidecar. It sends orders to the engine on its host, one at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "sidecar/engine_protocol.h"
#include "sidecar/settings.h"

namespace burdockdeck::sidecar {

struct sidecar_error {
    std::string message;
};

class sidecar_server {
public:
    [[nodiscard]] static result<std::unique_ptr<sidecar_server>, sidecar_error> create(
        const sidecar_settings& settings, engine_protocol protocol);
    ~sidecar_server();

    void stop(std::function<void()> finished);

private:
    struct state;
    explicit sidecar_server(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::sidecar
