// Admission control for bursts that exceed the prompt-reading capacity of a model's copies. Rejects
// long prompts immediately when their callers would disconnect before the first event, so that no
// engine time is spent on them.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "dispatch/choice.h"

namespace burdockdeck::dispatch {

struct admission_settings {
    // A request is rejected if its expected first event exceeds this share of the caller's timeout.
    // In simulated days of high load, three in four of the requests expected later than the full
    // timeout were never served; of those expected later than 0.7 of it, one in two.
    double first_event_timeout_share = 1.0;
};

// The retry delay for a request to be rejected, because no upstream is expected to send the first
// event in time; empty if the request is to be served, or if no upstream is eligible at all.
// `first_event_timeout` is how long the caller waits for a first event; zero if that is not known.
[[nodiscard]] std::optional<duration> rejection_retry_after(
    const std::vector<upstream*>& all, const request_view& r, duration first_event_timeout,
    const choice_settings& choosing, const admission_settings& s, time_point now);

}  // namespace burdockdeck::dispatch
