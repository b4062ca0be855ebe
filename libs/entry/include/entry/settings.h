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
    // Where callers, and the platform's balancer, reach this entry (HTTP).
    settings::endpoint listen;
    std::vector<settings::endpoint> control;
    settings::access_settings access;
    settings::log_settings log;
    std::size_t traffic_threads = 2;
    // The time a caller waits who names no deadline, and the longest that one may name.
    duration default_deadline = std::chrono::seconds(60);
    duration longest_deadline = std::chrono::minutes(10);
    // A stream without any frame for this long is taken up again on a new connection.
    duration silence = std::chrono::milliseconds(2500);
    // How long an attempt is taken up again before its fate counts as unknown.
    duration resume_patience = std::chrono::seconds(5);
    // How long the entry goes on accepting after it has told the balancer that it leaves.
    duration balancer_wait = std::chrono::seconds(2);
    std::size_t max_body_bytes = std::size_t{16} << 20U;
    routing::route_settings routing;
};

[[nodiscard]] result<entry_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::entry
