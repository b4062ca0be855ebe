// Settings of burdockdeck-sidecar.
#pragma once

#include <string>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::sidecar {

struct sidecar_settings {
    std::string name;
    // Endpoint for gateways and control: gRPC over TCP, beacon subscriptions over UDP.
    settings::endpoint listen;
    // The engine on this machine.
    settings::endpoint engine;
    settings::access_settings access;
    settings::log_settings log;
    // An adapter is not unloaded for this long after it was last requested.
    duration adapter_lease = std::chrono::seconds(4);
    // Interval of load beacons to gateways while the engine has work.
    duration beacon_interval = std::chrono::milliseconds(60);
};

[[nodiscard]] result<sidecar_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::sidecar
