// State of one request from routing to its end, and the functions for one attempt of it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "answer_cut.h"
#include "dispatch/choice.h"
#include "event_splitter.h"
#include "exchange.h"
#include "session.h"
#include "takeover.h"

namespace burdockdeck::gateway {

// Invariants: `tried` holds each upstream that the request was sent to, in order; `route` and
// `service` are copies from the deployment in force when the request was routed and do not change.
struct request_state {
    // The connection that the request came on.
    std::weak_ptr<session> caller;
    caller_request request;
    request_facts facts;
    deployment::route route;
    // Of the deployment that the request was routed by; 0 before.
    std::uint64_t version = 0;
    std::string service;
    std::uint32_t max_connections = 0;
    std::uint64_t kv_tokens = 0;
    std::uint32_t max_adapters = 0;
    // The earlier of the caller's deadline and the route's timeout.
    time_point finish_by{};
    std::vector<std::string> tried;
    time_point last_send_at{};
    // True if the route allows that the request is sent again, streams after their last event.
    bool repeatable = false;
    // True once an attempt ended with unknown outcome: the request may have been executed.
    bool may_have_run = false;
    // True once an engine crashed before it answered completely and the prompt may be the cause;
    // the request is then not sent again.
    bool may_have_crashed_engine = false;

    // Resumable streams: the software version of the events that the caller has; empty if it has
    // none. Does not change once it is known.
    dispatch::software_set origin;
    // Streams: whether the head was sent to the caller, and the events forwarded since.
    bool head_sent = false;
    event_splitter events;
    std::uint32_t events_forwarded = 0;
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
    // Id of the upstream that the current attempt was sent to.
    std::string current_upstream;
    // False while an event is being written to the caller.
    bool awaits_upstream = false;
    // Another upstream that the request is being sent to while the current one is silent.
    std::shared_ptr<gateway::successor> successor;
    // The incarnation of the upstream of the current attempt and its software version, when the
    // request was sent to it, and when the first and the last event arrived from it; the epoch if
    // none has.
    std::uint64_t sent_to_born_ms = 0;
    std::string sent_to_software;
    time_point sent_at{};
    time_point attempt_began_at{};
    time_point attempt_progress_at{};
    // When the current upstream last sent something, or when the request was sent to it.
    time_point last_progress_at{};
    std::string last_failure;
    // How long the caller of a request whose model is absent should wait; zero if it is not.
    duration model_return_in{};
    // How the current attempt ended, and how the last one that forwarded events did.
    attempt_ending ending;
    std::optional<attempt_ending> cut;
};

// True if sending the request again, after the events that were forwarded, has no additional
// effect and cannot crash another engine.
[[nodiscard]] inline bool is_repeatable(const request_state& r) {
    return r.repeatable && r.events.events_without_id == 0 && !r.may_have_crashed_engine;
}

// True if the request names events that its caller has received.
[[nodiscard]] inline bool names_received_events(const request_state& r) {
    return r.facts.last_event_id || !r.facts.resumes.empty();
}

// True if all events of the answer must come from upstreams of one software version. A stream that
// is taken up was resumable when it began, even if a deployment that this gateway has missed made
// it so.
[[nodiscard]] inline bool is_bound_to_version(const request_state& r) {
    return r.route.kind == deployment::repeatability::streaming &&
           (r.route.resumable || names_received_events(r));
}

// Time from the first to the last event that arrived in the current attempt.
[[nodiscard]] inline duration written_time(const request_state& r) {
    return r.attempt_progress_at - r.attempt_began_at;
}

// How one attempt ended.
enum class attempt_end {
    // The caller has the complete answer, has disconnected, or its connection was closed.
    finished,
    // The request was not executed: it may be sent to another upstream, repeatable or not.
    not_run,
    // The request may have been executed: only repeatable requests may be sent again.
    unknown,
};

// What the choice of an upstream for `r` depends on; refers to `r`.
[[nodiscard]] dispatch::request_view make_request_view(const core& c, const request_state& r);
// True if a software version may send events of `r`: any version may for requests that are not
// bound to one.
[[nodiscard]] bool may_stream_from(const core& c, const request_state& r,
                                   const std::string& software_version);
// The key under which the demand of `r` is counted.
[[nodiscard]] demand_key demand_key_of(const core& c, const request_state& r);
// Time until the answer has to end. While the head of the answer has not been sent, a margin is
// subtracted, so that an error reaches the caller in time.
[[nodiscard]] duration time_left(const request_state& r, time_point now);

// True if the request may be sent again in case the current attempt fails.
[[nodiscard]] bool may_send_again(core& c, const request_state& r);
// The request as it is sent to the upstream `id`; refers to `r`.
[[nodiscard]] outgoing_request make_outgoing(const core& c, const request_state& r,
                                             const std::string& id);
// A connection to this upstream; null if that failed, with the reason in `failure`.
boost::asio::awaitable<connection_ptr> acquire_connection(core& c, const request_state& r,
                                                          dispatch::incarnation target,
                                                          std::string& failure);
// Counts one send of `r` to the upstream `id`.
void record_send_to(core& c, request_state& r, const std::string& id);
// Sends `r` to the upstream `to` and forwards the answer to the caller. If `prepared` is set, the
// request has already been sent to it.
boost::asio::awaitable<attempt_end> attempt(core& c, session& caller, request_state& r,
                                            dispatch::choice to,
                                            std::shared_ptr<successor> prepared);
// Answers the caller with an error, or closes the connection if the answer's head was sent. If
// `retry_after` is positive, the answer tells the caller to retry after that time.
boost::asio::awaitable<void> refuse(core& c, session& caller, request_state& r, unsigned status,
                                    std::string reason, duration retry_after);

}  // namespace burdockdeck::gateway
