// Settings of burdockdeck-control.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::control {

// A fleet whose instances find each other from seeds, and whose upstreams announce themselves.
struct site_settings {
    // Where operators and upstreams call (HTTP).
    settings::endpoint listen;
    // `listen` of some instances, as far as known when the settings were written.
    std::vector<settings::endpoint> seeds;
    // Port of `control_settings::listen` at every instance.
    std::uint16_t rpc_port = 0;
    // Port of the sidecar beside each engine, at the engine's own IP number.
    std::uint16_t sidecar_port = 0;
    // True only at the very first start of the whole system.
    bool founding = false;
    // Voters to aim for; odd.
    std::uint32_t voters = 3;
    // A voter silent for this long is swapped for an instance that asks to join.
    duration lost_after = std::chrono::milliseconds(1500);
    // Upstreams announce themselves about this often.
    duration announce_interval = std::chrono::milliseconds(1200);
    // The span over which loads from the weight store are limited, and what is allowed beyond.
    duration store_window = std::chrono::seconds(5);
};

struct control_settings {
    std::string name;
    std::string failure_domain;
    // Where other processes and operators reach this instance (gRPC).
    settings::endpoint listen;
    // The address that others are told, where it differs from `listen`.
    settings::endpoint advertise;
    // Where /metrics, /healthz and /readyz are served.
    settings::endpoint http_listen;
    std::string data_folder;
    settings::access_settings access;
    settings::log_settings log;
    // An agent that has not renewed for this long is taken as gone.
    duration agent_lease = std::chrono::seconds(5);
    // An agent may use its share of the adapters in flight for this long without a renewal.
    duration share_lease = std::chrono::seconds(60);
    // Answers to keyed work are kept this long.
    duration claim_retention = std::chrono::hours(24);
    // Replicas above the need are given up after this time.
    duration scale_down_after = std::chrono::minutes(5);
    // Log entries after which a snapshot is taken.
    std::uint64_t snapshot_every = 1000;
    duration heartbeat = std::chrono::milliseconds(60);
    duration election_min = std::chrono::milliseconds(350);
    duration election_max = std::chrono::milliseconds(700);
    std::optional<site_settings> site;
};

[[nodiscard]] result<control_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::control
