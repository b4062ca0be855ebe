// Records why an attempt ended before its answer was complete, and logs requests that the gateway
// ends without a complete answer.
#pragma once

#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/time.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;
class session;

enum class cut_cause {
    none,
    // The upstream sent nothing for longer than the limit, and the gateway closed its connection.
    silence_limit,
    // The caller's deadline or the route's timeout was reached.
    deadline,
    // The upstream closed its connection, or the connection failed.
    upstream_closed,
    // The upstream's answer cannot be forwarded.
    answer_invalid,
    // The caller closed its connection.
    caller_left,
    // Writing to the caller failed.
    write_failed,
    // A part of the prompt has crashed engines.
    quarantined,
    // The process exits with the request still open.
    grace_ended,
};

inline constexpr name_table<cut_cause, 9> cut_cause_names{{
    {cut_cause::none, "none"},
    {cut_cause::silence_limit, "silence_limit"},
    {cut_cause::deadline, "deadline"},
    {cut_cause::upstream_closed, "upstream_closed"},
    {cut_cause::answer_invalid, "answer_invalid"},
    {cut_cause::caller_left, "caller_left"},
    {cut_cause::write_failed, "write_failed"},
    {cut_cause::quarantined, "quarantined"},
    {cut_cause::grace_ended, "grace_ended"},
}};

// How one attempt ended before its answer was complete.
struct attempt_ending {
    cut_cause cause = cut_cause::none;
    // The error of the connection, if there was one.
    std::string detail;
    time_point at{};
    // Time since the upstream last sent something.
    duration silence{};
};

// --- Queries

// The number of the service's upstreams by obstacle to `r`, as in "none:1,tried:2".
[[nodiscard]] std::string count_obstacles(core& c, const request_state& r, time_point now);
// The request's age when it was last sent to an upstream, in milliseconds, or "none".
[[nodiscard]] std::string last_send_age(const request_state& r);
// Milliseconds from the stop signal to `now`, or "none" if there was no signal.
[[nodiscard]] std::string since_stop(const core& c, time_point now);

// --- Commands

// Records why the current attempt ends. Only the first cause of an attempt is kept, since closing
// its connection causes others.
void record_ending(request_state& r, cut_cause cause, std::string detail, time_point now);
// Logs a request that ended without a complete answer. `caller_failure` is the error of the
// caller's connection, if there was one.
void log_answer_cut(core& c, const request_state& r, const attempt_ending& how,
                    const std::string& caller_failure, time_point now);
// Logs an attempt at the upstream `upstream` that served no complete answer.
void log_failed_attempt(const request_state& r, const std::string& upstream,
                        std::string_view status);
// Logs each request that is still open when the process exits.
void log_open_requests(core& c, time_point now);

}  // namespace burdockdeck::gateway
