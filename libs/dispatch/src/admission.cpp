// The least expected time against the caller's patience.
#include "dispatch/admission.h"

#include <algorithm>
#include <limits>

namespace burdockdeck::dispatch {

namespace {

// Backlogs of several engines change within this time; sooner returns find the same queue.
constexpr duration least_absence = std::chrono::milliseconds(200);

double least_expected_ms(const std::vector<upstream*>& all, const request_view& r,
                         const choice_settings& s, time_point now) {
    double least = std::numeric_limits<double>::infinity();
    for (const upstream* u : all) {
        if (obstacle_to(*u, r, now) == obstacle::none) {
            least = std::min(least, expected_ms(*u, r, s, now));
        }
    }
    return least;
}

}  // namespace

std::optional<duration> rejection_retry_after(const std::vector<upstream*>& all,
                                              const request_view& r, duration patience,
                                              const choice_settings& choosing,
                                              const admission_settings& s, time_point now) {
    // Short prompts are read ahead of long ones and wait for few of them.
    if (patience <= duration::zero() || !is_long(*r.needs, choosing.roles)) {
        return std::nullopt;
    }
    const double bearable_ms = s.first_event_timeout_share * 1000 * to_seconds(patience);
    const double least_ms = least_expected_ms(all, r, choosing, now);
    if (least_ms <= bearable_ms || least_ms == std::numeric_limits<double>::infinity()) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> excess(least_ms - bearable_ms);
    return std::max(least_absence, std::chrono::duration_cast<duration>(excess));
}

}  // namespace burdockdeck::dispatch
