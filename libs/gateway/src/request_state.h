// What is known of one request while it is served.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "dispatch/choice.h"
#include "event_splitter.h"
#include "exchange.h"
#include "session.h"

namespace burdockdeck::gateway {

// Invariants: `tried` holds each upstream that the request was sent to, in order; `route` and
// `service` belong to the deployment that was in force when the request arrived.
struct request_state {
    caller_request request;
    request_facts facts;
    deployment::route route;
    std::string service;
    std::uint32_t max_connections = 0;
    std::uint64_t kv_tokens = 0;
    std::uint32_t max_adapters = 0;
    // Neither the caller nor the route lets it take longer.
    time_point finish_by{};
    std::vector<std::string> tried;
    // True if a repeat can double nothing.
    bool repeatable = false;
    // True once an attempt ended without knowing whether it ran.
    bool may_have_run = false;

    // Of a stream that has begun towards the caller.
    bool head_sent = false;
    event_splitter events;
    // From the request's arrival to the first event, and the longest pause after it.
    duration first_event{};
    duration longest_gap{};
    time_point last_event_at{};
    // What the last choice expected.
    double expected_ms = 0;
    std::uint32_t read_tokens = 0;
    double backlog_ms = 0;
    // True if the upstream had nothing else to read when the request was sent.
    bool engine_was_idle = false;

    std::shared_ptr<exchange> current;
    // Since when nothing has come from the current upstream.
    time_point last_progress_at{};
    std::string last_failure;
};

// How one attempt ended.
enum class attempt_end {
    // The caller has its whole answer, or has left, or its connection was cut.
    finished,
    // Nothing ran: another upstream may be tried by any request.
    not_run,
    // It may have run: only repeatable requests go on.
    unknown,
};

// What its demand is counted under.
[[nodiscard]] demand_key demand_key_of(const core& c, const request_state& r);
[[nodiscard]] duration time_left(const request_state& r, time_point now);

// One send of `r` to `to`, up to its end.
boost::asio::awaitable<attempt_end> attempt(core& c, session& caller, request_state& r,
                                            dispatch::choice to);
// True if the current upstream has been silent for longer than is usual and another send may
// follow. A prompt that waits at an engine that is still heard waits on.
[[nodiscard]] bool should_abandon_attempt(core& c, const request_state& r, time_point now);
// Answers the caller itself.
boost::asio::awaitable<void> refuse(core& c, session& caller, request_state& r, unsigned status,
                                    std::string reason, duration retry_after);

}  // namespace burdockdeck::gateway
