// Limits on an upstream's silence, and the steps from one upstream to the next.
#include "dispatch/takeover.h"

#include <algorithm>

namespace burdockdeck::dispatch {

namespace {

// The successor's expected time is multiplied by this, since its queue is known only roughly.
constexpr int successor_time_factor = 2;
// Time to notice the silence and to connect to the successor.
constexpr duration preparation_time = std::chrono::milliseconds(350);

}  // namespace

std::optional<duration> silence_limit(const silent_attempt& a, duration successor_time) {
    if (!a.reports_load) {
        return a.min_silence;
    }
    if (a.queued) {
        return std::nullopt;
    }
    if (a.caller_silence_timeout == duration::zero()) {
        return a.min_silence;
    }
    const duration needed = preparation_time + successor_time_factor * successor_time;
    return std::max(a.min_silence, a.caller_silence_timeout - needed);
}

takeover_step next_step(const silent_attempt& a, duration successor_time, time_point now) {
    const std::optional<duration> limit = silence_limit(a, successor_time);
    return limit && now - a.last_progress_at > *limit ? takeover_step::prepare
                                                      : takeover_step::keep_waiting;
}

takeover_step next_step(const silent_attempt& a, const takeover_candidate& successor) {
    if (a.last_progress_at > successor.sent_at) {
        return takeover_step::withdraw;
    }
    return successor.answers ? takeover_step::switch_over : takeover_step::keep_waiting;
}

}  // namespace burdockdeck::dispatch
