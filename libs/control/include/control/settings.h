// Settings of burdockdeck-control.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::control {

// Settings of a fleet whose instances discover each other from seeds, and whose upstreams announce
// themselves.
struct site_settings {
    // Address for calls of operators and upstreams (HTTP).
    settings::endpoint listen;
    // `listen` of the instances that were known when the settings were written.
    std::vector<settings::endpoint> seeds;
    // Port of `control_settings::listen` at every instance.
    std::uint16_t rpc_port = 0;
    // Port of the sidecar of each engine, at the engine's IP address.
    std::uint16_t sidecar_port = 0;
    // True only at the first start of the whole system, when the seeds create the cluster.
    bool founding = false;
    // Target number of voters; odd.
    std::uint32_t voters = 3;
    // A voter that has been silent for this long is replaced by an instance that requests to join.
    duration lost_after = std::chrono::milliseconds(1500);
    // Longest time that a stopping voter waits for another instance to take its vote.
    duration handover_timeout = std::chrono::milliseconds(4000);
    // Approximate interval between an upstream's announcements.
    duration announce_interval = std::chrono::milliseconds(1200);
    // Period over which the number of loads from the weight store is limited.
    duration store_window = std::chrono::seconds(5);
};

struct control_settings {
    std::string name;
    std::string failure_domain;
    // Address for calls of other processes and operators (gRPC).
    settings::endpoint listen;
    // Address that is advertised to others, if it differs from `listen`.
    settings::endpoint advertise;
    // Address of /metrics, /healthz and /readyz.
    settings::endpoint http_listen;
    std::string data_folder;
    settings::access_settings access;
    settings::log_settings log;
    // An agent that has not renewed for this long expires.
    duration agent_lease = std::chrono::seconds(5);
    // An agent may use its share of the adapters in flight for this long without a renewal.
    duration share_lease = std::chrono::seconds(60);
    // Answers to keyed work are kept this long.
    duration claim_retention = std::chrono::hours(24);
    // Surplus replicas are removed after this time.
    duration scale_down_after = std::chrono::minutes(5);
    // Number of log entries between snapshots.
    std::uint64_t snapshot_every = 1000;
    duration heartbeat = std::chrono::milliseconds(60);
    duration election_min = std::chrono::milliseconds(350);
    duration election_max = std::chrono::milliseconds(700);
    std::optional<site_settings> site;
};

[[nodiscard]] result<control_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::control
