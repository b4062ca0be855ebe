// Sliding counts in slices.
#include "dispatch/budget.h"

#include <algorithm>

namespace burdockdeck::dispatch {

namespace {

constexpr int slices_per_window = 10;
// Windows of the callers' side and ours are not aligned: a part of the allowance stays unused.
constexpr double used_share = 0.8;

}  // namespace

bool may_retry(const retry_budget& b, const budget_settings& s, std::uint32_t gateways,
               time_point now) {
    double firsts = 0;
    double repeats = 0;
    for (const retry_budget::slice& x : b.slices) {
        if (now - x.begin < s.window + s.window / slices_per_window) {
            firsts += x.firsts;
            repeats += x.repeats;
        }
    }
    const double slack = s.slack / std::max(1U, gateways);
    return repeats + 1 <= used_share * (s.ratio * firsts + slack);
}

void record_send(retry_budget& b, const budget_settings& s, bool repeat, time_point now) {
    const duration length = s.window / slices_per_window;
    if (b.slices.empty() || now - b.slices.back().begin >= length) {
        b.slices.push_back({now, 0, 0});
    }
    retry_budget::slice& x = b.slices.back();
    (repeat ? x.repeats : x.firsts) += 1;
    while (b.slices.size() > 1 && now - b.slices.front().begin > 2 * s.window) {
        b.slices.pop_front();
    }
}

}  // namespace burdockdeck::dispatch
