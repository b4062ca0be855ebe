// Sliding-window counters, divided into slices.
#include "dispatch/budget.h"

#include <algorithm>

namespace burdockdeck::dispatch {

namespace {

constexpr int slices_per_window = 10;
// Only this share of the budget is used, because the windows that the callers' side measures are
// not aligned with those here.
constexpr double used_share = 0.8;

}  // namespace

bool may_retry(const retry_budget& b, const budget_settings& s, std::uint32_t gateways,
               time_point now) {
    double first_sends = 0;
    double retries = 0;
    for (const retry_budget::slice& x : b.slices) {
        if (now - x.begin < s.window + s.window / slices_per_window) {
            first_sends += x.first_sends;
            retries += x.retries;
        }
    }
    const double slack = s.slack / std::max(1U, gateways);
    return retries + 1 <= used_share * (s.ratio * first_sends + slack);
}

void record_send(retry_budget& b, const budget_settings& s, bool retry, time_point now) {
    const duration length = s.window / slices_per_window;
    if (b.slices.empty() || now - b.slices.back().begin >= length) {
        b.slices.push_back({now, 0, 0});
    }
    retry_budget::slice& x = b.slices.back();
    (retry ? x.retries : x.first_sends) += 1;
    while (b.slices.size() > 1 && now - b.slices.front().begin > 2 * s.window) {
        b.slices.pop_front();
    }
}

}  // namespace burdockdeck::dispatch
