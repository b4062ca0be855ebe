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
    // Where entries reach this agent (gRPC). Holding this port makes the agent the only one beside
    // its upstream.
    settings::endpoint listen;
    // The address that entries are told, where it differs from `listen`.
    settings::endpoint advertise;
    // Where the upstream announces itself, and /metrics, /healthz, /readyz are served.
    settings::endpoint http_listen;
    std::vector<settings::endpoint> control;
    settings::access_settings access;
    settings::log_settings log;
    queueing::policy queue;
    std::size_t traffic_threads = 2;
    duration renew_interval = std::chrono::seconds(1);
    // The longest wait for the answer to a load order; its fate is unknown after that.
    duration order_timeout = std::chrono::seconds(60);
    // The longest answer that is carried, and how much of ended answers is kept for resumption.
    std::size_t max_answer_bytes = std::size_t{64} << 20U;
    std::size_t kept_answer_bytes = std::size_t{32} << 20U;
    // A completion that nobody has listened to for this long is stopped.
    duration orphan_timeout = std::chrono::seconds(10);
};

[[nodiscard]] result<agent_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::agent
