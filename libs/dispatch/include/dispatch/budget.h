// Retry budget of one gateway for one service. Gateways exchange no messages for it: each limits
// its retries to a ratio of its own first sends, so the whole fleet stays below that ratio too.
#pragma once

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace burdockdeck::dispatch {

struct budget_settings {
    // Retries per first send.
    double ratio = 0.2;
    // Retries allowed in addition to the ratio, summed over all gateways.
    double slack = 58;
    duration window = std::chrono::seconds(10);
};

// Counts of this gateway's sends to one service, in slices of the window.
struct retry_budget {
    struct slice {
        time_point begin{};
        std::uint32_t first_sends = 0;
        std::uint32_t retries = 0;
    };
    std::deque<slice> slices;
};

// True if one more retry fits the budget. `gateways` is the number of gateways that share the
// slack.
[[nodiscard]] bool may_retry(const retry_budget& b, const budget_settings& s,
                             std::uint32_t gateways, time_point now);

void record_send(retry_budget& b, const budget_settings& s, bool retry, time_point now);

}  // namespace burdockdeck::dispatch
