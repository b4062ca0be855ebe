// The reading of frames, and the proof of outcomes.
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

constexpr duration pause_before_resume = std::chrono::milliseconds(50);
constexpr duration cancel_timeout = std::chrono::milliseconds(1000);

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

// What one call of the attempt came to.
enum class call_end { final_frame, broken, silent, deadline, caller_left, refused };

// State of an attempt across its connections.
struct attempt_progress {
    std::uint64_t offset = 0;
    running_checksum checksum;
    bool head_passed = false;
    bool first_byte_seen = false;
    time_point sent_at{};
    std::uint32_t calls = 0;
    // True once some call may have reached the agent.
    bool may_have_arrived = false;
    rpc::final_frame last;
    std::string trouble;
};

rpc::run_request request_of(const lane& on, const work& w, const attempt_plan& plan,
                            const attempt_progress& p, std::uint32_t expected_tokens) {
    rpc::run_request r;
    r.set_attempt(plan.attempt);
    r.set_incarnation(plan.to.incarnation);
    r.set_table_revision(on.view->revision);
    r.set_kind(w.kind);
    r.set_target(w.target);
    r.set_version(plan.to.version);
    r.set_adapter(w.adapter);
    r.set_method(w.method);
    r.set_path(w.path);
    r.set_content_type(w.content_type);
    r.set_stream(w.stream);
    r.set_priority(w.priority);
    r.set_expected_tokens(expected_tokens);
    r.set_traceparent(runtime::to_traceparent(w.span));
    r.set_request_id(w.request_id);
    const std::int64_t left = to_milliseconds(w.deadline - steady_now());
    r.set_budget_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left)));
    r.set_resume(plan.follow_only || p.may_have_arrived);
    r.set_resume_offset(p.offset);
    if (!r.resume()) {
        r.set_body(w.body);
    }
    return r;
}

// gRPC says this only of a call for which no connection could be made.
bool never_left(const grpc::Status& status) {
    return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
           status.error_message().starts_with("failed to connect to all addresses");
}

// Takes one frame; true if it ended the attempt.
boost::asio::awaitable<bool> take_frame(const rpc::frame& f, attempt_progress& p,
                                        routing::observation& seen, answer_sink& sink,
                                        bool& caller_lost) {
    const time_point now = steady_now();
    if (!p.first_byte_seen && (f.status() != 0 || f.has_final())) {
        p.first_byte_seen = true;
        routing::on_first_byte(seen, now - p.sent_at, now);
    }
    routing::on_report(seen, f.queued_tokens(), now);
    if (!f.data().empty()) {
        routing::on_progress(seen, now);
    }
    if (f.status() != 0 && !p.head_passed) {
        p.head_passed = true;
        caller_lost = !co_await sink.head(f.status(), f.content_type());
    }
    if (!f.data().empty() && !caller_lost) {
        p.offset += f.data().size();
        p.checksum.update(f.data());
        caller_lost = !co_await sink.data(f.data());
    }
    if (f.has_final()) {
        p.last = f.final();
    }
    co_return f.has_final();
}

boost::asio::awaitable<call_end> read_call(lane& on, const work& w, run_stream& stream,
                                           attempt_progress& p, routing::observation& seen,
                                           answer_sink& sink) {
    while (true) {
        const time_point now = steady_now();
        if (now >= w.deadline) {
            co_return call_end::deadline;
        }
        const time_point silent_at = now + on.shared.settings.silence;
        const read_result r = co_await stream.next(std::min(w.deadline, silent_at));
        if (const auto* f = std::get_if<rpc::frame>(&r)) {
            p.may_have_arrived = true;
            if (!f->data().empty() && f->offset() != p.offset) {
                p.trouble = "a frame arrived out of place";
                co_return call_end::broken;
            }
            bool caller_lost = false;
            const bool last = co_await take_frame(*f, p, seen, sink, caller_lost);
            if (last) {
                co_return call_end::final_frame;
            }
            if (caller_lost || sink.caller_left()) {
                co_return call_end::caller_left;
            }
            continue;
        }
        if (const auto* ended = std::get_if<call_ended>(&r)) {
            p.trouble = ended->status.error_message();
            if (ended->status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
                co_return call_end::refused;
            }
            p.may_have_arrived = p.may_have_arrived || !never_left(ended->status);
            co_return call_end::broken;
        }
        if (steady_now() >= w.deadline) {
            p.may_have_arrived = true;
            co_return call_end::deadline;
        }
        p.may_have_arrived = true;
        p.trouble = "silent";
        co_return call_end::silent;
    }
}

// Asks the agent to forbid the attempt, or to stop it. True if it proves that it never started.
boost::asio::awaitable<bool> forbid(lane& on, const attempt_plan& plan, bool stop) {
    rpc::agent::Stub* stub = &on.stub(plan.to.address);
    rpc::cancel_request r;
    r.set_attempt(plan.attempt);
    r.set_incarnation(plan.to.incarnation);
    const auto start = [stub, stop](auto... arguments) {
        if (stop) {
            stub->async()->stop(arguments...);
        } else {
            stub->async()->cancel(arguments...);
        }
    };
    auto answer = co_await runtime::call_unary<rpc::cancel_reply>(
        on.on.context(), on.shared.access, std::move(r), cancel_timeout, start);
    co_return succeeded(answer) && value(answer).status() == rpc::cancel_reply::tombstoned;
}

attempt_outcome outcome_of(const attempt_progress& p) {
    attempt_outcome out;
    out.delivered = p.offset;
    out.message = p.last.message();
    out.retry_after = std::chrono::milliseconds(p.last.retry_after_ms());
    switch (p.last.outcome()) {
        case rpc::run_completed: {
            const bool whole =
                p.last.length() == p.offset && p.last.checksum() == p.checksum.value();
            out.result = whole ? outcome::completed : outcome::unknown;
            if (!whole) {
                out.message = "the answer's length or checksum does not match";
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

std::uint32_t expected_tokens_of(const lane& on, const work& w) {
    // Reading a prompt costs a small part of what writing as many tokens costs.
    constexpr std::uint32_t prompt_discount = 16;
    constexpr double slack = 1.5;
    double tokens = w.max_tokens;
    const auto learned = on.sizes.find(w.target);
    if (learned != on.sizes.end() && learned->second.mean_tokens > 0.0) {
        tokens = std::min(tokens, std::max(1.0, learned->second.mean_tokens * slack));
    }
    return static_cast<std::uint32_t>(tokens) + w.prompt_tokens / prompt_discount + 1;
}

}  // namespace

boost::asio::awaitable<attempt_outcome> run_attempt(lane& on, const work& w,
                                                    const attempt_plan& plan, answer_sink& sink) {
    routing::observation& seen = on.observations[plan.to.agent];
    const std::uint32_t tokens = expected_tokens_of(on, w);
    attempt_progress p;
    p.sent_at = steady_now();
    routing::on_sent(seen, tokens, p.sent_at);
    time_point trouble_since{};
    attempt_outcome out;
    while (true) {
        auto stream = std::make_shared<run_stream>(on.on.context());
        rpc::run_request request = request_of(on, w, plan, p, tokens);
        stream->start(on.stub(plan.to.address), on.shared.access, std::move(request));
        ++p.calls;
        const std::uint64_t offset_before = p.offset;
        const call_end end = co_await read_call(on, w, *stream, p, seen, sink);
        if (end != call_end::final_frame) {
            stream->cancel();
        }
        if (end == call_end::final_frame) {
            out = outcome_of(p);
            // A refused first call proves nothing of an earlier call under the same attempt, but
            // the agent remembers attempts, and says not_run of one only if it never started.
            break;
        }
        if (end == call_end::refused) {
            out.result = outcome::not_run;
            out.message = p.trouble;
            break;
        }
        if (end == call_end::caller_left || end == call_end::deadline) {
            const bool stop = w.idempotent;
            const bool never = !p.may_have_arrived || co_await forbid(on, plan, stop);
            out.result = never && !plan.follow_only ? outcome::not_run : outcome::unknown;
            out.caller_left = end == call_end::caller_left;
            out.deadline_passed = end == call_end::deadline;
            out.still_open = out.result == outcome::unknown;
            out.message = out.deadline_passed ? "the deadline passed" : "the caller left";
            break;
        }
        on.leave(plan.to.address);
        if (!p.may_have_arrived && !plan.follow_only) {
            out.result = outcome::not_run;
            out.message = "agent " + plan.to.agent + " cannot be reached: " + p.trouble;
            break;
        }
        const time_point now = steady_now();
        if (p.offset != offset_before || trouble_since == time_point{}) {
            trouble_since = now;
        }
        if (now - trouble_since > on.shared.settings.resume_patience) {
            out.result = outcome::unknown;
            out.message = "agent " + plan.to.agent + " was lost during the work: " + p.trouble;
            out.still_open = true;
            break;
        }
        on.shared.metrics.count("burdockdeck_resumptions_total");
        log_event(severity::info, event::attempt_resumed,
                  {{"request", w.request_id},
                   {"attempt", plan.attempt},
                   {"agent", plan.to.agent},
                   {"offset", p.offset},
                   {"reason", p.trouble}});
        co_await runtime::sleep_for(pause_before_resume);
    }
    out.delivered = p.offset;
    const time_point now = steady_now();
    if (out.result == outcome::completed) {
        routing::on_done(seen, tokens, now - p.sent_at, now);
    } else {
        routing::on_failure(seen, tokens, now);
    }
    co_return out;
}

}  // namespace burdockdeck::entry
