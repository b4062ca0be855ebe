// Reads the frames of an attempt, resumes broken calls and determines the outcome.
#include "attempt_runner.h"

#include "base/checksum.h"
#include "run_stream.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::entry {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration resume_delay = std::chrono::milliseconds(50);
constexpr duration cancel_timeout = std::chrono::milliseconds(1000);

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

// How one call of the attempt ended.
enum class call_result { final_frame, broken, silent, deadline, caller_left, refused };

// State of an attempt over all of its calls.
struct attempt_progress {
    std::uint64_t offset = 0;
    running_checksum checksum;
    bool head_forwarded = false;
    bool first_byte_seen = false;
    time_point sent_at{};
    std::uint32_t calls = 0;
    // True once any call may have reached the agent.
    bool may_have_arrived = false;
    rpc::final_frame last_frame;
    std::string failure_reason;
};

rpc::run_request request_of(const worker_state& worker, const work& w, const attempt_plan& plan,
                            const attempt_progress& p, std::uint32_t expected_tokens) {
    rpc::run_request r;
    r.set_attempt(plan.attempt);
    r.set_incarnation(plan.target_agent.incarnation);
    r.set_table_revision(worker.view->revision);
    r.set_kind(w.kind);
    r.set_target(w.target);
    r.set_version(plan.target_agent.version);
    r.set_adapter(w.adapter);
    r.set_method(w.method);
    r.set_path(w.path);
    r.set_content_type(w.content_type);
    r.set_stream(w.stream);
    r.set_priority(w.priority);
    r.set_expected_tokens(expected_tokens);
    r.set_traceparent(runtime::to_traceparent(w.span));
    r.set_request_id(w.request_id);
    const std::int64_t time_left = to_milliseconds(w.deadline - steady_now());
    r.set_budget_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, time_left)));
    r.set_resume(plan.observe_only || p.may_have_arrived);
    r.set_resume_offset(p.offset);
    if (!r.resume()) {
        r.set_body(w.body);
    }
    return r;
}

// gRPC uses this message only if no connection could be established, so nothing was sent.
bool was_never_sent(const grpc::Status& status) {
    return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
           status.error_message().starts_with("failed to connect to all addresses");
}

// Processes one frame; returns true if it is the final frame.
boost::asio::awaitable<bool> process_frame(const rpc::frame& f, attempt_progress& p,
                                           routing::observation& observed, answer_sink& sink,
                                           bool& caller_lost) {
    const time_point now = steady_now();
    if (!p.first_byte_seen && (f.status() != 0 || f.has_final())) {
        p.first_byte_seen = true;
        routing::on_first_byte(observed, now - p.sent_at, now);
    }
    routing::on_report(observed, f.queued_tokens(), now);
    if (!f.data().empty()) {
        routing::on_progress(observed, now);
    }
    if (f.status() != 0 && !p.head_forwarded) {
        p.head_forwarded = true;
        caller_lost = !co_await sink.on_head(f.status(), f.content_type());
    }
    if (!f.data().empty() && !caller_lost) {
        p.offset += f.data().size();
        p.checksum.update(f.data());
        caller_lost = !co_await sink.on_data(f.data());
    }
    if (f.has_final()) {
        p.last_frame = f.final();
    }
    co_return f.has_final();
}

boost::asio::awaitable<call_result> read_call(worker_state& worker, const work& w,
                                              run_stream& stream, attempt_progress& p,
                                              routing::observation& observed, answer_sink& sink) {
    while (true) {
        const time_point now = steady_now();
        if (now >= w.deadline) {
            co_return call_result::deadline;
        }
        const time_point silent_at = now + worker.shared.settings.silence_timeout;
        const read_result r = co_await stream.next(std::min(w.deadline, silent_at));
        if (const auto* f = std::get_if<rpc::frame>(&r)) {
            p.may_have_arrived = true;
            if (!f->data().empty() && f->offset() != p.offset) {
                p.failure_reason = "a frame arrived with an unexpected offset";
                co_return call_result::broken;
            }
            bool caller_lost = false;
            const bool is_final = co_await process_frame(*f, p, observed, sink, caller_lost);
            if (is_final) {
                co_return call_result::final_frame;
            }
            if (caller_lost || sink.caller_left()) {
                co_return call_result::caller_left;
            }
            continue;
        }
        if (const auto* ended = std::get_if<call_ended>(&r)) {
            p.failure_reason = ended->status.error_message();
            if (ended->status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
                co_return call_result::refused;
            }
            p.may_have_arrived = p.may_have_arrived || !was_never_sent(ended->status);
            co_return call_result::broken;
        }
        if (steady_now() >= w.deadline) {
            p.may_have_arrived = true;
            co_return call_result::deadline;
        }
        p.may_have_arrived = true;
        p.failure_reason = "silent";
        co_return call_result::silent;
    }
}

// Asks the agent to prevent the attempt from starting or, with `stop`, also to stop it if it runs.
// Returns true if the agent proves that the attempt never started.
boost::asio::awaitable<bool> cancel_attempt(worker_state& worker, const attempt_plan& plan,
                                            bool stop) {
    rpc::agent::Stub* stub = &worker.stub(plan.target_agent.address);
    rpc::cancel_request r;
    r.set_attempt(plan.attempt);
    r.set_incarnation(plan.target_agent.incarnation);
    const auto start = [stub, stop](auto... arguments) {
        if (stop) {
            stub->async()->stop(arguments...);
        } else {
            stub->async()->cancel(arguments...);
        }
    };
    auto answer = co_await runtime::call_unary<rpc::cancel_reply>(
        worker.event_loop.context(), worker.shared.access, std::move(r), cancel_timeout, start);
    co_return succeeded(answer) && value(answer).status() == rpc::cancel_reply::tombstoned;
}

attempt_outcome outcome_of(const attempt_progress& p) {
    attempt_outcome out;
    out.delivered = p.offset;
    out.message = p.last_frame.message();
    out.retry_after = std::chrono::milliseconds(p.last_frame.retry_after_ms());
    switch (p.last_frame.outcome()) {
        case rpc::run_completed: {
            const bool complete =
                p.last_frame.length() == p.offset && p.last_frame.checksum() == p.checksum.value();
            out.result = complete ? outcome::completed : outcome::unknown;
            if (!complete) {
                out.message = "the length or checksum of the answer does not match the agent's";
            }
            break;
        }
        case rpc::run_not_run:
            out.result = outcome::not_run;
            break;
        default:
            out.result = outcome::unknown;
            break;
    }
    return out;
}

std::uint32_t expected_tokens_of(const worker_state& worker, const work& w) {
    // A prompt token costs a small fraction of what a generated token costs.
    constexpr std::uint32_t prompt_discount = 16;
    constexpr double slack = 1.5;
    double tokens = w.max_tokens;
    const auto learned = worker.answer_lengths.find(w.target);
    if (learned != worker.answer_lengths.end() && learned->second.mean_tokens > 0.0) {
        tokens = std::min(tokens, std::max(1.0, learned->second.mean_tokens * slack));
    }
    return static_cast<std::uint32_t>(tokens) + w.prompt_tokens / prompt_discount + 1;
}

}  // namespace

boost::asio::awaitable<attempt_outcome> run_attempt(worker_state& worker, const work& w,
                                                    const attempt_plan& plan, answer_sink& sink) {
    routing::observation& observed = worker.observations[plan.target_agent.agent];
    const std::uint32_t tokens = expected_tokens_of(worker, w);
    attempt_progress p;
    p.sent_at = steady_now();
    routing::on_sent(observed, tokens, p.sent_at);
    time_point failing_since{};
    attempt_outcome out;
    while (true) {
        auto stream = std::make_shared<run_stream>(worker.event_loop.context());
        rpc::run_request request = request_of(worker, w, plan, p, tokens);
        stream->start(worker.stub(plan.target_agent.address), worker.shared.access,
                      std::move(request));
        ++p.calls;
        const std::uint64_t offset_before = p.offset;
        const call_result end = co_await read_call(worker, w, *stream, p, observed, sink);
        if (end != call_result::final_frame) {
            stream->cancel();
        }
        if (end == call_result::final_frame) {
            out = outcome_of(p);
            // The agent's record covers all calls under this attempt: it reports not_run only for
            // an attempt that never started, so an earlier call cannot have run it either.
            break;
        }
        if (end == call_result::refused) {
            out.result = outcome::not_run;
            out.message = p.failure_reason;
            break;
        }
        if (end == call_result::caller_left || end == call_result::deadline) {
            const bool stop = w.idempotent;
            const bool never_started =
                !p.may_have_arrived || co_await cancel_attempt(worker, plan, stop);
            out.result = never_started && !plan.observe_only ? outcome::not_run : outcome::unknown;
            out.caller_left = end == call_result::caller_left;
            out.deadline_passed = end == call_result::deadline;
            out.outcome_pending = out.result == outcome::unknown;
            out.message = out.deadline_passed ? "the deadline passed" : "the caller disconnected";
            break;
        }
        worker.close_connection(plan.target_agent.address);
        if (!p.may_have_arrived && !plan.observe_only) {
            out.result = outcome::not_run;
            out.message =
                "agent " + plan.target_agent.agent + " cannot be reached: " + p.failure_reason;
            break;
        }
        const time_point now = steady_now();
        if (p.offset != offset_before || failing_since == time_point{}) {
            failing_since = now;
        }
        if (now - failing_since > worker.shared.settings.resume_timeout) {
            out.result = outcome::unknown;
            out.message = "agent " + plan.target_agent.agent +
                          " was lost while the request was running: " + p.failure_reason;
            out.outcome_pending = true;
            break;
        }
        worker.shared.metrics.count("burdockdeck_resumptions_total");
        log_event(severity::info, event::attempt_resumed,
                  {{"request", w.request_id},
                   {"attempt", plan.attempt},
                   {"agent", plan.target_agent.agent},
                   {"offset", p.offset},
                   {"reason", p.failure_reason}});
        co_await runtime::sleep_for(resume_delay);
    }
    out.delivered = p.offset;
    const time_point now = steady_now();
    if (out.result == outcome::completed) {
        routing::on_done(observed, tokens, now - p.sent_at, now);
    } else {
        routing::on_failure(observed, tokens, now);
    }
    co_return out;
}

}  // namespace burdockdeck::entry
