// The share of repeats that one gateway may add to a service's load, without messages: all gateways
// together stay below the fleet's ratio because each keeps to the ratio of its own first sends.
#pragma once

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace burdockdeck::dispatch {

struct budget_settings {
    // Repeats per first send.
    double ratio = 0.2;
    // Repeats allowed beside the ratio, over all gateways.
    double slack = 58;
    duration window = std::chrono::seconds(10);
};

// Sends of one service by this gateway in slices of the window.
struct retry_budget {
    struct slice {
        time_point begin{};
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };
    std::deque<slice> slices;
};

// True if one more repeat keeps to the budget, given the number of gateways that share the slack.
[[nodiscard]] bool may_retry(const retry_budget& b, const budget_settings& s,
                             std::uint32_t gateways, time_point now);

void record_send(retry_budget& b, const budget_settings& s, bool repeat, time_point now);

}  // namespace burdockdeck::dispatch
