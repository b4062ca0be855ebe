// Settings of burdockdeck-agent.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "queueing/queue.h"
#include "settings/common.h"

namespace burdockdeck::agent {

struct agent_settings {
    std::string name;
    std::string failure_domain;
    // gRPC endpoint for entries. Binding this port also ensures that no second agent runs for the
    // same upstream.
    settings::endpoint listen;
    // Address published to entries, if it differs from `listen`.
    settings::endpoint advertise;
    // HTTP endpoint for the upstream's announcements and for /metrics, /healthz and /readyz.
    settings::endpoint http_listen;
    std::vector<settings::endpoint> control;
    settings::access_settings access;
    settings::log_settings log;
    queueing::policy queue;
    std::size_t traffic_threads = 2;
    duration renew_interval = std::chrono::seconds(1);
    // Time limit for the answer to a load or unload order; after it the outcome is unknown.
    duration order_timeout = std::chrono::seconds(60);
    // Size limit of one answer, and of all answers of ended attempts kept for resumption.
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
    std::size_t kept_answer_bytes = std::size_t{32} << 20U;
    // A completion is stopped when no stream has been attached to it for this long.
    duration orphan_timeout = std::chrono::seconds(10);
};

[[nodiscard]] result<agent_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::agent
