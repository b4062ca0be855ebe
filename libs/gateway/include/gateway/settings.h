// Settings of burdockdeck-gateway.
#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "dispatch/admission.h"
#include "dispatch/budget.h"
#include "dispatch/choice.h"
#include "settings/common.h"

namespace burdockdeck::gateway {

struct gateway_settings {
    std::string name;
    std::string failure_domain;
    // Address for callers.
    settings::endpoint listen;
    // Address of the platform's readiness check.
    settings::endpoint ready_listen;
    // Address of /metrics; not served if the port is 0.
    settings::endpoint metrics_listen;
    // Some control instances. Only the IP addresses are used; the port is `control_rpc_port`.
    std::vector<settings::endpoint> seeds;
    std::uint16_t control_rpc_port = 0;
    // Port of the sidecar at an engine's IP address.
    std::uint16_t sidecar_port = 0;
    settings::access_settings access;
    settings::log_settings log;
    // Time from the stop signal to the latest end of the process.
    duration grace = std::chrono::seconds(8);
    // Most bytes of answers that are held in memory at once.
    std::size_t max_answer_bytes = 64 * 1024 * 1024;
    dispatch::budget_settings budget;
    dispatch::choice_settings choice;
    dispatch::admission_settings admission;
};

[[nodiscard]] result<gateway_settings, settings::settings_error> load_settings(
    const std::string& path);

}  // namespace burdockdeck::gateway
