// Settings of burdockdeck-control.
#pragma once

#include <string>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::control {

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
};

[[nodiscard]] result<control_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::control
