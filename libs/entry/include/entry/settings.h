// Settings of burdockdeck-entry.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "routing/router.h"
#include "settings/common.h"

namespace burdockdeck::entry {

struct entry_settings {
    std::string name;
    std::string failure_domain;
    // HTTP address for callers and for the platform's load balancer.
    settings::endpoint listen;
    std::vector<settings::endpoint> control;
    settings::access_settings access;
    settings::log_settings log;
    std::size_t traffic_threads = 2;
    // Deadline of requests that set none, and the maximum that a request may set.
    duration default_deadline = std::chrono::seconds(60);
    duration longest_deadline = std::chrono::minutes(10);
    // An attempt without a frame for this long is resumed on a new connection.
    duration silence_timeout = std::chrono::milliseconds(2500);
    // How long an attempt without progress is resumed before its outcome counts as unknown.
    duration resume_timeout = std::chrono::seconds(5);
    // How long the entry accepts connections after /readyz has begun to report `draining`, so that
    // the load balancer can stop sending.
    duration balancer_wait = std::chrono::seconds(2);
    std::size_t max_body_bytes = std::size_t{16} << 20U;
    routing::route_settings routing;
};

[[nodiscard]] result<entry_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::entry
