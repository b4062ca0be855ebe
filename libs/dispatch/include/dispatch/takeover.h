// Replaces an upstream that has fallen silent in the middle of a request. The request is sent to a
// successor while the silent upstream may still go on; the silent one is left only once the
// successor answers. A run begins with its first token, so the two run together for no longer than
// the successor's first bytes take to arrive.
#pragma once

#include <optional>

#include "base/name_table.h"
#include "base/time.h"

namespace burdockdeck::dispatch {

enum class takeover_step {
    keep_waiting,
    // Choose a successor, connect to it and send it the request.
    prepare,
    // Leave the silent upstream; the successor goes on.
    switch_over,
    // Leave the successor; the silent upstream has gone on.
    withdraw,
};

inline constexpr name_table<takeover_step, 4> takeover_step_names{{
    {takeover_step::keep_waiting, "keep_waiting"},
    {takeover_step::prepare, "prepare"},
    {takeover_step::switch_over, "switch_over"},
    {takeover_step::withdraw, "withdraw"},
}};

// An upstream that has sent nothing for some time.
struct silent_attempt {
    // When it last sent something, or when the request was sent to it.
    time_point last_progress_at{};
    // No successor is prepared before this much silence.
    duration min_silence{};
    // The caller leaves after this much silence; zero if it is not known to leave.
    duration caller_silence_timeout{};
    // The upstream's load reports still arrive, so it may pause and go on.
    bool reports_load = false;
    // It has sent no event yet, so the request may be waiting in its queue.
    bool queued = false;
};

// The upstream that the request was sent to in addition.
struct takeover_candidate {
    time_point sent_at{};
    // Its answer has begun and can be forwarded.
    bool answers = false;
};

// --- Queries

// Silence after which a successor is prepared that needs `successor_time` until its first event;
// empty if the upstream is waited for however long it is silent.
[[nodiscard]] std::optional<duration> silence_limit(const silent_attempt& a,
                                                    duration successor_time);
// The step before the request has been sent to a successor.
[[nodiscard]] takeover_step next_step(const silent_attempt& a, duration successor_time,
                                      time_point now);
// The step after it has been sent to one.
[[nodiscard]] takeover_step next_step(const silent_attempt& a, const takeover_candidate& successor);

}  // namespace burdockdeck::dispatch
