// Spaces the updates to all watchers of a control instance, so that they take a bounded share of
// the loop that also runs elections. What changes meanwhile goes out with the next update.
#pragma once

#include "base/time.h"

namespace burdockdeck::control {

struct update_pacing {
    // The next update to all watchers begins at this time or later.
    time_point next_at{};
    // An update at `next_at` is scheduled.
    bool scheduled = false;
};

// Time until an update to all watchers may begin; zero if it may begin now.
[[nodiscard]] duration wait_before_update(const update_pacing& p, time_point now);
// Records an update to all watchers. The pause after it grows with the time that it took: that
// depends on the number of watchers and on the processor that this instance gets.
void record_update(update_pacing& p, time_point began_at, time_point ended_at);

}  // namespace burdockdeck::control
