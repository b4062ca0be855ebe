// Runs the retry loop of a request, claims idempotency keys and writes the responses.
#include "dispatcher.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <set>

#include "attempt_runner.h"
#include "base/checksum.h"
#include "runtime/log.h"

namespace burdockdeck::entry {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration destination_poll_interval = std::chrono::milliseconds(20);
constexpr duration first_table_timeout = std::chrono::seconds(10);
// Agents keep the record of an attempt for 15 minutes after its end. For a claim older than this,
// the record may have been dropped, so `not_run` from the agent does not prove that the attempt
// never ran.
constexpr duration max_claim_age_for_not_run = std::chrono::minutes(10);
constexpr duration follow_poll_interval = std::chrono::milliseconds(100);
// How long the response waits until the outcome is recorded; recording then continues in the
// background.
constexpr duration settle_wait = std::chrono::milliseconds(1500);
constexpr duration settle_timeout = std::chrono::seconds(30);
constexpr std::size_t max_collected_bytes = std::size_t{64} << 20U;

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

// Forwards the answer to the caller: event streams as they arrive, other answers once complete.
class caller_sink : public answer_sink {
public:
    caller_sink(runtime::http_exchange& exchange, const work& w)
        : exchange_(exchange), work_(w), caller_left_(std::make_shared<bool>(false)) {
        exchange_.watch_caller([left = caller_left_] { *left = true; });
    }

    boost::asio::awaitable<bool> on_head(unsigned status, std::string content_type) override {
        head_.status = status;
        head_.content_type = content_type;
        collected_body_.clear();
        if (!work_.stream || !content_type.starts_with("text/event-stream")) {
            co_return true;
        }
        stream_started_ = true;
        runtime::http_response h = head_;
        h.headers = {{"X-Request-Id", work_.request_id}, {"Cache-Control", "no-store"}};
        co_return co_await exchange_.begin(std::move(h));
    }

    boost::asio::awaitable<bool> on_data(std::string_view bytes) override {
        if (stream_started_) {
            co_return co_await exchange_.write(bytes);
        }
        collected_body_ += bytes;
        co_return collected_body_.size() <= max_collected_bytes;
    }

    [[nodiscard]] bool caller_left() const override {
        // Non-idempotent work continues after the caller has left, so that its outcome can be
        // recorded.
        return *caller_left_ && work_.idempotent;
    }

    // For all kinds of work: an attempt that has not been sent has no outcome to record.
    [[nodiscard]] bool caller_left_before_send() const {
        return *caller_left_ || exchange_.caller_left();
    }
    [[nodiscard]] bool stream_started() const {
        return stream_started_;
    }
    [[nodiscard]] const runtime::http_response& response_head() const {
        return head_;
    }
    [[nodiscard]] const std::string& collected_body() const {
        return collected_body_;
    }

private:
    runtime::http_exchange& exchange_;
    const work& work_;
    std::shared_ptr<bool> caller_left_;
    runtime::http_response head_;
    std::string collected_body_;
    bool stream_started_ = false;
};

// Result of the request over all its attempts.
struct request_outcome {
    outcome result = outcome::not_run;
    // HTTP status for the caller if the work did not complete.
    unsigned status = 503;
    std::string message;
    duration retry_after{};
    bool caller_left = false;
    // The stored answer of an earlier request under the same key; no upstream was called.
    std::optional<schema::stored_answer> replayed;
};

const std::vector<destination>* destinations_of(const worker_state& worker, const work& w) {
    const auto& table = w.kind == rpc::work_service ? worker.view->services : worker.view->models;
    const auto found = table.find(w.target);
    return found == table.end() || found->second.empty() ? nullptr : &found->second;
}

// Chooses among the agents, except those on which this request failed in the current round.
std::optional<destination> choose_destination(worker_state& worker, const work& w,
                                              const std::set<std::string>& excluded) {
    const std::vector<destination>* all = destinations_of(worker, w);
    if (all == nullptr) {
        return std::nullopt;
    }
    std::vector<const destination*> eligible;
    std::vector<routing::candidate> candidates;
    for (const destination& d : *all) {
        if (!excluded.contains(d.agent)) {
            eligible.push_back(&d);
            candidates.push_back({&worker.observations[d.agent], d.slots});
        }
    }
    const auto chosen =
        routing::choose(candidates, worker.shared.settings.routing, steady_now(), worker.rng);
    if (!chosen) {
        return std::nullopt;
    }
    return *eligible[*chosen];
}

// Runs one call of the control client on the control loop.
template <class Result, class Call>
boost::asio::awaitable<Result> run_on_control_loop(shared_state& s, Call call) {
    co_return co_await boost::asio::co_spawn(s.control_loop.context(), call,
                                             boost::asio::use_awaitable);
}

using submit_result = result<schema::command_reply, runtime::rpc_error>;

boost::asio::awaitable<submit_result> submit(worker_state& worker, schema::command command,
                                             duration timeout) {
    auto shared = std::make_shared<schema::command>(std::move(command));
    shared_state& s = worker.shared;
    const auto call = [&s, shared, timeout]() -> boost::asio::awaitable<submit_result> {
        schema::command copy = *shared;
        co_return co_await s.control.submit(std::move(copy), timeout);
    };
    co_return co_await run_on_control_loop<submit_result>(s, call);
}

schema::command settle_command_of(const work& w, const std::string& attempt,
                                  schema::settle_command::result_kind kind,
                                  const caller_sink* answer) {
    schema::command c;
    schema::settle_command& s = *c.mutable_settle();
    s.set_key(w.key);
    s.set_attempt(attempt);
    s.set_result(kind);
    if (answer != nullptr) {
        s.mutable_answer()->set_status(answer->response_head().status);
        s.mutable_answer()->set_content_type(answer->response_head().content_type);
        s.mutable_answer()->set_body(answer->collected_body());
    }
    return c;
}

// Records the outcome of keyed work in the catalog. Returns after `settle_wait` at the latest; the
// command then continues in the background.
boost::asio::awaitable<void> settle(worker_state& worker, schema::command command) {
    auto done = std::make_shared<std::atomic<bool>>(false);
    auto shared = std::make_shared<schema::command>(std::move(command));
    shared_state& s = worker.shared;
    runtime::spawn(s.control_loop, [&s, shared, done]() -> boost::asio::awaitable<void> {
        schema::command copy = *shared;
        const auto reply = co_await s.control.submit(std::move(copy), settle_timeout);
        if (!succeeded(reply)) {
            log_event(severity::warning, event::claim_failed,
                      {{"key", shared->settle().key()}, {"reason", error(reply).message}});
        }
        *done = true;
    });
    const time_point timeout_at = steady_now() + settle_wait;
    while (!*done && steady_now() < timeout_at) {
        co_await runtime::sleep_for(std::chrono::milliseconds(1));
    }
}

schema::settle_command::result_kind settle_kind(outcome o) {
    switch (o) {
        case outcome::completed:
            return schema::settle_command::done;
        case outcome::not_run:
            return schema::settle_command::not_run;
        default:
            return schema::settle_command::unknown;
    }
}

enum class claim_step { dispatch, answered, try_again };

// Resolves a claim that another request under the same key holds: replays its answer, or follows
// its attempt until the outcome is known.
boost::asio::awaitable<claim_step> follow_claim(worker_state& worker, const work& w,
                                                const schema::claim_record& claim,
                                                caller_sink& sink, request_outcome& out) {
    if (claim.state() == schema::claim_done) {
        out.result = outcome::completed;
        out.replayed = claim.answer();
        co_return claim_step::answered;
    }
    if (claim.state() == schema::claim_unknown) {
        out.result = outcome::unknown;
        out.status = 502;
        out.message = "an earlier request under this key ended with an unknown outcome";
        co_return claim_step::answered;
    }
    const auto& services = worker.view->services;
    const auto all = services.find(w.target);
    const destination* holder = nullptr;
    if (all != services.end()) {
        for (const destination& d : all->second) {
            const bool same = d.agent == claim.agent() && d.incarnation == claim.incarnation();
            holder = same ? &d : holder;
        }
    }
    const auto latest = worker.view->incarnations.find(claim.agent());
    if (latest != worker.view->incarnations.end() && latest->second > claim.incarnation()) {
        // The restarted agent has no record of the attempt. The entry that made the claim may still
        // overwrite this outcome with a completed answer.
        co_await settle(worker, settle_command_of(w, claim.attempt(),
                                                  schema::settle_command::unknown, nullptr));
        out.result = outcome::unknown;
        out.status = 502;
        out.message = "the agent that ran an earlier request under this key has restarted";
        co_return claim_step::answered;
    }
    if (holder == nullptr) {
        // The agent that holds the attempt is leaving, silent or gone. The entry that made the
        // claim may still settle it.
        if (steady_now() + follow_poll_interval < w.deadline) {
            co_await runtime::sleep_for(follow_poll_interval);
            co_return claim_step::try_again;
        }
        out.result = outcome::unknown;
        out.status = 504;
        out.message =
            "an earlier request under this key is still running or its agent is unreachable";
        co_return claim_step::answered;
    }
    attempt_plan plan;
    plan.target_agent = *holder;
    plan.attempt = claim.attempt();
    plan.observe_only = true;
    attempt_outcome followed = co_await run_attempt(worker, w, plan, sink);
    if (followed.outcome_pending) {
        out.result = outcome::unknown;
        out.status = 504;
        out.message = "an earlier request under this key has not ended yet: " + followed.message;
        co_return claim_step::answered;
    }
    const std::int64_t age_ms =
        runtime::wall_clock_ns() / 1'000'000 - static_cast<std::int64_t>(claim.at_ms());
    if (followed.result == outcome::not_run &&
        age_ms > to_milliseconds(max_claim_age_for_not_run)) {
        followed.result = outcome::unknown;
        followed.message =
            "the agent's record of an earlier request under this key may have expired";
    }
    const bool completed = followed.result == outcome::completed;
    co_await settle(worker, settle_command_of(w, plan.attempt, settle_kind(followed.result),
                                              completed ? &sink : nullptr));
    if (followed.result == outcome::not_run) {
        co_return claim_step::try_again;
    }
    out.result = followed.result;
    out.status = 502;
    out.message = followed.message;
    co_return claim_step::answered;
}

// Claims the idempotency key for one attempt before the attempt is sent.
boost::asio::awaitable<claim_step> claim_key(worker_state& worker, const work& w,
                                             const attempt_plan& plan, caller_sink& sink,
                                             request_outcome& out) {
    schema::command c;
    schema::claim_command& claim = *c.mutable_claim();
    claim.set_key(w.key);
    claim.set_body_digest(digest_of(w.method + " " + w.path + "\n" + w.body));
    claim.set_attempt(plan.attempt);
    claim.set_agent(plan.target_agent.agent);
    claim.set_incarnation(plan.target_agent.incarnation);
    const auto reply = co_await submit(worker, std::move(c), w.deadline - steady_now());
    if (!succeeded(reply)) {
        // The attempt was not dispatched, so the outcome is `not_run`, even if the claim was
        // recorded. A recorded claim is resolved by the next request under the key: the agent
        // then reports that the attempt never started.
        out.message = "the idempotency key could not be claimed: " + error(reply).message;
        co_return claim_step::answered;
    }
    const schema::command_reply& r = value(reply);
    if (r.status() == schema::status_done) {
        co_return claim_step::dispatch;
    }
    if (r.status() == schema::status_exists) {
        co_return co_await follow_claim(worker, w, r.claim(), sink, out);
    }
    if (r.message().find("Idempotency-Key") != std::string::npos) {
        out.status = 422;
        out.message = r.message();
        co_return claim_step::answered;
    }
    co_return claim_step::try_again;
}

// True if the request may be attempted again after this outcome.
bool may_retry(worker_state& worker, const work& w, const attempt_outcome& a,
               const caller_sink& sink) {
    if (a.caller_left || a.deadline_passed || steady_now() >= w.deadline || sink.stream_started()) {
        return false;
    }
    if (a.result == outcome::not_run) {
        return true;
    }
    return w.idempotent && routing::try_spend(worker.retry_budget);
}

void record_answer_length(worker_state& worker, const work& w, std::uint64_t answer_bytes) {
    // Estimates tokens from bytes: a streamed answer has one event per token; any other answer is
    // mostly the generated text itself.
    constexpr double bytes_per_event = 64.0;
    constexpr double bytes_per_token = 5.0;
    constexpr double weight = 0.05;
    const double tokens =
        static_cast<double>(answer_bytes) / (w.stream ? bytes_per_event : bytes_per_token);
    double& mean = worker.answer_lengths[w.target].mean_tokens;
    mean = mean <= 0.0 ? tokens : mean + weight * (tokens - mean);
}

boost::asio::awaitable<request_outcome> dispatch_request(worker_state& worker, const work& w,
                                                         caller_sink& sink) {
    request_outcome out;
    out.message = "no upstream that serves `" + w.target + "` was available before the deadline";
    std::set<std::string> excluded;
    std::uint32_t round = 0;
    bool may_have_run = false;
    routing::on_request(worker.retry_budget);
    while (steady_now() < w.deadline) {
        const std::optional<destination> to = choose_destination(worker, w, excluded);
        if (!to) {
            // Every agent was tried, or none serves the target yet: wait, then try all again.
            excluded.clear();
            if (sink.caller_left()) {
                out.caller_left = true;
                break;
            }
            const duration pause =
                std::max(destination_poll_interval, routing::backoff(round++, worker.rng));
            const duration left = w.deadline - steady_now();
            if (out.retry_after > left) {
                // The retry delay given by the last agent ends after the deadline.
                break;
            }
            co_await runtime::sleep_for(std::min(left, pause));
            continue;
        }
        if (sink.caller_left_before_send()) {
            out.caller_left = true;
            out.message = "the caller disconnected before the request was sent";
            break;
        }
        attempt_plan plan;
        plan.target_agent = *to;
        plan.attempt = runtime::random_hex(24);
        if (!w.key.empty()) {
            const claim_step step = co_await claim_key(worker, w, plan, sink, out);
            if (step == claim_step::answered) {
                co_return out;
            }
            if (step == claim_step::try_again) {
                co_await runtime::sleep_for(destination_poll_interval);
                continue;
            }
        }
        const attempt_outcome a = co_await run_attempt(worker, w, plan, sink);
        // The claim stays open while the attempt may still end at its agent; a later request under
        // the same key learns the outcome.
        if (!w.key.empty() && !a.outcome_pending) {
            const bool completed = a.result == outcome::completed;
            co_await settle(worker, settle_command_of(w, plan.attempt, settle_kind(a.result),
                                                      completed ? &sink : nullptr));
        }
        out.result = a.result;
        out.message = a.message;
        out.retry_after = a.retry_after;
        out.caller_left = a.caller_left;
        may_have_run = may_have_run || a.result == outcome::unknown;
        if (a.result == outcome::completed) {
            record_answer_length(worker, w, a.delivered);
            break;
        }
        out.status = a.result == outcome::not_run ? 503 : (a.deadline_passed ? 504 : 502);
        if (!may_retry(worker, w, a, sink)) {
            break;
        }
        excluded.insert(plan.target_agent.agent);
        worker.shared.metrics.count("burdockdeck_retries_total");
        log_event(
            severity::debug, event::attempt_retried,
            {{"request", w.request_id}, {"agent", plan.target_agent.agent}, {"reason", a.message}});
    }
    if (out.result == outcome::not_run && may_have_run) {
        // The last attempt did not run, but an earlier one may have run.
        out.result = outcome::unknown;
        out.status = 502;
    }
    co_return out;
}

boost::asio::awaitable<void> answer_completed(runtime::http_exchange& exchange, const work& w,
                                              const caller_sink& sink, const request_outcome& out) {
    runtime::http_response r;
    r.headers = {{"X-Request-Id", w.request_id}, {"Burdockdeck-Outcome", "completed"}};
    if (out.replayed) {
        r.status = out.replayed->status();
        r.content_type = out.replayed->content_type();
        r.body = out.replayed->body();
        r.headers.emplace_back("Burdockdeck-Replayed", "true");
        if (out.replayed->truncated()) {
            r.headers.emplace_back("Burdockdeck-Answer-Too-Large", "true");
        }
    } else {
        r.status = sink.response_head().status;
        r.content_type = sink.response_head().content_type;
        r.body = sink.collected_body();
    }
    (void)co_await exchange.respond(std::move(r));
}

// Ends a started stream that cannot be completed: writes an error event but no final chunk, so that
// the caller cannot mistake the stream for complete.
boost::asio::awaitable<void> abort_stream(runtime::http_exchange& exchange, const work& w,
                                          const request_outcome& out) {
    const std::string text = "event: error\ndata: " +
                             boost::json::serialize(boost::json::object{
                                 {"error", boost::json::object{{"message", out.message},
                                                               {"type", "upstream_lost"},
                                                               {"outcome", name_of(out.result)},
                                                               {"request_id", w.request_id}}}}) +
                             "\n\n";
    (void)co_await exchange.write(text);
}

void record_end(worker_state& worker, const work& w, const request_outcome& out) {
    const duration elapsed = steady_now() - w.received;
    const std::string label = "outcome=" + std::string(name_of(out.result));
    worker.shared.metrics.count("burdockdeck_requests_total", label);
    worker.shared.metrics.observe("burdockdeck_request_seconds", elapsed, label);
    runtime::write_span(
        w.span, w.parent_span, "entry.request", w.received_wall_ns, runtime::wall_clock_ns(),
        {{"request.id", w.request_id}, {"target", w.target}, {"outcome", name_of(out.result)}});
    log_event(out.result == outcome::completed ? severity::debug : severity::warning,
              event::request_ended,
              {{"request", w.request_id},
               {"target", w.target},
               {"outcome", name_of(out.result)},
               {"ms", to_milliseconds(elapsed)},
               {"reason", out.message}});
}

}  // namespace

boost::asio::awaitable<void> answer_error(runtime::http_exchange& exchange, unsigned status,
                                          std::string message, std::string outcome_name,
                                          std::string request_id, duration retry_after) {
    runtime::http_response r;
    r.status = status;
    r.headers = {{"X-Request-Id", request_id}, {"Burdockdeck-Outcome", outcome_name}};
    if (retry_after > duration::zero()) {
        const std::int64_t seconds = (to_milliseconds(retry_after) + 999) / 1000;
        r.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    const char* type = status >= 500 ? "unavailable" : "invalid_request";
    r.body = boost::json::serialize(
        boost::json::object{{"error", boost::json::object{{"message", message},
                                                          {"type", type},
                                                          {"outcome", outcome_name},
                                                          {"request_id", request_id}}}});
    (void)co_await exchange.respond(std::move(r));
}

// Waits after a start for the first routing table, without which a declared model would be refused
// as undeclared.
boost::asio::awaitable<bool> wait_for_table(worker_state& worker) {
    const time_point timeout_at = steady_now() + first_table_timeout;
    while (worker.view->revision == 0 && steady_now() < timeout_at) {
        co_await runtime::sleep_for(destination_poll_interval);
    }
    co_return worker.view->revision > 0;
}

boost::asio::awaitable<void> serve_request(worker_state& worker, runtime::http_exchange& exchange) {
    if (!co_await wait_for_table(worker)) {
        std::string id = request_id_of(exchange.request());
        std::string message = "this entry has not received a routing table from control yet";
        std::string not_run(name_of(outcome::not_run));
        co_await answer_error(exchange, 503, message, not_run, id, std::chrono::seconds(1));
        co_return;
    }
    // Keeps the document that was in force on arrival alive for the whole request.
    const std::shared_ptr<const routing_view> view = worker.view;
    const time_point now = steady_now();
    const confirmed_document confirmed{view->document, worker.shared.table_confirmed};
    const auto parsed_request =
        parse_request(exchange.request(), confirmed, worker.shared.settings, now);
    if (!succeeded(parsed_request)) {
        const refusal& r = error(parsed_request);
        worker.shared.metrics.count("burdockdeck_refused_total",
                                    "status=" + std::to_string(r.status));
        const std::string id = request_id_of(exchange.request());
        log_event(severity::info, event::request_refused, {{"request", id}, {"reason", r.message}});
        co_await answer_error(exchange, r.status, r.message, "not_run", id, r.retry_after);
        co_return;
    }
    const work& w = value(parsed_request);
    caller_sink sink(exchange, w);
    worker.shared.demand.begin(w.target, now);
    const request_outcome out = co_await dispatch_request(worker, w, sink);
    worker.shared.demand.end(w.target, steady_now());
    record_end(worker, w, out);
    if (sink.stream_started()) {
        if (out.result == outcome::completed) {
            (void)co_await exchange.finish();
        } else if (!out.caller_left) {
            co_await abort_stream(exchange, w, out);
        }
    } else if (out.result == outcome::completed) {
        co_await answer_completed(exchange, w, sink, out);
    } else if (!out.caller_left) {
        co_await answer_error(exchange, out.status, out.message, std::string(name_of(out.result)),
                              w.request_id, out.retry_after);
    }
}

}  // namespace burdockdeck::entry
