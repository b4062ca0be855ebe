// Settings of burdockdeck-sidecar.
#pragma once

#include <string>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::sidecar {

struct sidecar_settings {
    std::string name;
    // Where gateways and control reach this process (gRPC).
    settings::endpoint listen;
    // The engine on this machine.
    settings::endpoint engine;
    settings::access_settings access;
    settings::log_settings log;
    // An adapter that was asked for is not unloaded for this long.
    duration adapter_lease = std::chrono::seconds(4);
    // Gateways hear of the engine's load this often while it works.
    duration beacon_interval = std::chrono::milliseconds(60);
};

[[nodiscard]] result<sidecar_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::sidecar
