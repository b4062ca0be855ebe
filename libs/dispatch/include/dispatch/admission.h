// For bursts beyond what the copies of a model can read: refuses at once the long prompts whose
// callers would have left before the first event, so that reading is not spent on them.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "dispatch/choice.h"

namespace burdockdeck::dispatch {

struct admission_settings {
    // Refused beyond this share of the caller's patience. Of those expected later than the whole of
    // it three in four were never served in played days of high load; at 0.7 it was one in two.
    double first_event_timeout_share = 1.0;
};

// How long a caller should stay away because its first event is expected too late everywhere; empty
// if it is to be served, or if no upstream could take it at all. `patience` is how long the caller
// waits for a first event; zero if that is not known.
[[nodiscard]] std::optional<duration> rejection_retry_after(
    const std::vector<upstream*>& all, const request_view& r, duration patience,
    const choice_settings& choosing, const admission_settings& s, time_point now);

}  // namespace burdockdeck::dispatch
