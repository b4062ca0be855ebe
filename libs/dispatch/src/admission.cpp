// Compares the minimum expected time over all upstreams with the caller's first-event timeout.
#include "dispatch/admission.h"

#include <algorithm>
#include <limits>

namespace burdockdeck::dispatch {

namespace {

// Minimum retry delay. Backlogs of engines change noticeably within this time; an earlier retry
// would find the same queue.
constexpr duration min_retry_delay = std::chrono::milliseconds(200);

double min_expected_ms(const std::vector<upstream*>& all, const request_view& r,
                       const choice_settings& s, time_point now) {
    double best = std::numeric_limits<double>::infinity();
    for (const upstream* u : all) {
        if (obstacle_to(*u, r, now) == obstacle::none) {
            best = std::min(best, expected_ms(*u, r, s, now));
        }
    }
    return best;
}

}  // namespace

std::optional<duration> rejection_retry_after(const std::vector<upstream*>& all,
                                              const request_view& r, duration first_event_timeout,
                                              const choice_settings& choosing,
                                              const admission_settings& s, time_point now) {
    // Short prompts are always admitted: engines read them ahead of long ones, so they wait little.
    if (first_event_timeout <= duration::zero() || !is_long(*r.needs, choosing.roles)) {
        return std::nullopt;
    }
    const double max_wait_ms = s.first_event_timeout_share * 1000 * to_seconds(first_event_timeout);
    const double best_ms = min_expected_ms(all, r, choosing, now);
    if (best_ms <= max_wait_ms || best_ms == std::numeric_limits<double>::infinity()) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> excess(best_ms - max_wait_ms);
    return std::max(min_retry_delay, std::chrono::duration_cast<duration>(excess));
}

}  // namespace burdockdeck::dispatch
