// State of one request from routing to its end, and the functions for one attempt of it.
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
// `service` are copies from the deployment in force when the request was routed and do not change.
struct request_state {
    caller_request request;
    request_facts facts;
    deployment::route route;
    std::string service;
    std::uint32_t max_connections = 0;
    std::uint64_t kv_tokens = 0;
    std::uint32_t max_adapters = 0;
    // The earlier of the caller's deadline and the route's timeout, less a margin.
    time_point finish_by{};
    std::vector<std::string> tried;
    // True if sending the request again has no additional effect.
    bool repeatable = false;
    // True once an attempt ended with unknown outcome: the request may have been executed.
    bool may_have_run = false;
    // True once an engine crashed before it began to answer and the prompt may be the cause; the
    // request is then not sent again.
    bool may_have_crashed_engine = false;

    // Streams: whether the head was sent to the caller, and the events forwarded since.
    bool head_sent = false;
    event_splitter events;
    // Time from the request's arrival to the first event, and the longest gap between events.
    duration time_to_first_event{};
    duration longest_gap{};
    time_point last_event_at{};
    // Estimates made when the upstream of the last attempt was chosen.
    double expected_ms = 0;
    std::uint32_t read_tokens = 0;
    double backlog_ms = 0;
    // True if the upstream had no other prompts to process when the request was sent.
    bool engine_was_idle = false;

    std::shared_ptr<exchange> current;
    // The incarnation of the upstream of the current attempt, when the request was sent to it, and
    // whether an event has arrived.
    std::uint64_t sent_to_born_ms = 0;
    time_point sent_at{};
    bool event_in_attempt = false;
    // When the current upstream last sent something, or when the request was sent to it.
    time_point last_progress_at{};
    std::string last_failure;
};

// How one attempt ended.
enum class attempt_end {
    // The caller has the complete answer, has disconnected, or its connection was closed.
    finished,
    // The request was not executed: it may be sent to another upstream, repeatable or not.
    not_run,
    // The request may have been executed: only repeatable requests may be sent again.
    unknown,
};

// The key under which the demand of `r` is counted.
[[nodiscard]] demand_key demand_key_of(const core& c, const request_state& r);
[[nodiscard]] duration time_left(const request_state& r, time_point now);

// Sends `r` to the upstream `to` and forwards the answer to the caller.
boost::asio::awaitable<attempt_end> attempt(core& c, session& caller, request_state& r,
                                            dispatch::choice to);
// True if the current upstream has been silent beyond its limit and the request may be sent again.
// A prompt that is queued at an engine whose load reports still arrive is not abandoned.
[[nodiscard]] bool should_abandon_attempt(core& c, const request_state& r, time_point now);
// Answers the caller with an error, or closes the connection if the answer's head was sent. If
// `retry_after` is positive, the answer tells the caller to retry after that time.
boost::asio::awaitable<void> refuse(core& c, session& caller, request_state& r, unsigned status,
                                    std::string reason, duration retry_after);

}  // namespace burdockdeck::gateway
