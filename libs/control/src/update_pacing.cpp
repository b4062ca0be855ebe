// Pauses in proportion to the last update.
#include "update_pacing.h"

#include <algorithm>

namespace burdockdeck::control {

namespace {

// An update takes at most a tenth of the time from its begin to that of the next one.
constexpr int pause_per_update = 9;
// Upper limit of a pause, far below the time within which a change has to reach gateways.
constexpr duration max_pause = std::chrono::milliseconds(200);

}  // namespace

duration wait_before_update(const update_pacing& p, time_point now) {
    return std::max(duration::zero(), p.next_at - now);
}

void record_update(update_pacing& p, time_point began_at, time_point ended_at) {
    p.next_at = ended_at + std::min(pause_per_update * (ended_at - began_at), max_pause);
}

}  // namespace burdockdeck::control
