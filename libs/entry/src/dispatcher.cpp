// The loop of tries around one request.
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

constexpr duration destination_poll = std::chrono::milliseconds(20);
constexpr duration first_table_wait = std::chrono::seconds(10);
// Agents remember an attempt for 15 minutes after its end. A claim older than this may be of an
// attempt that ended and was forgotten, so that "it never arrived" proves nothing.
constexpr duration trusted_memory = std::chrono::minutes(10);
constexpr duration follow_poll = std::chrono::milliseconds(100);
// How long an answer waits for its record in the log; recording goes on after that.
constexpr duration settle_wait = std::chrono::milliseconds(1500);
constexpr duration settle_timeout = std::chrono::seconds(30);
constexpr std::size_t max_collected_bytes = std::size_t{64} << 20U;

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

// Passes an answer on to the caller: streams as they come, whole answers once they are whole.
class caller_sink : public answer_sink {
public:
    caller_sink(runtime::http_exchange& exchange, const work& w)
        : exchange_(exchange), work_(w), left_(std::make_shared<bool>(false)) {
        exchange_.watch_caller([left = left_] { *left = true; });
    }

    boost::asio::awaitable<bool> head(unsigned status, std::string content_type) override {
        head_.status = status;
        head_.content_type = content_type;
        collected_.clear();
        if (!work_.stream || !content_type.starts_with("text/event-stream")) {
            co_return true;
        }
        began_ = true;
        runtime::http_response h = head_;
        h.headers = {{"X-Request-Id", work_.request_id}, {"Cache-Control", "no-store"}};
        co_return co_await exchange_.begin(std::move(h));
    }

    boost::asio::awaitable<bool> data(std::string_view bytes) override {
        if (began_) {
            co_return co_await exchange_.write(bytes);
        }
        collected_ += bytes;
        co_return collected_.size() <= max_collected_bytes;
    }

    [[nodiscard]] bool caller_left() const override {
        // Work that must not be repeated goes on, so that its outcome can be recorded.
        return *left_ && work_.idempotent;
    }

    [[nodiscard]] bool began() const {
        return began_;
    }
    [[nodiscard]] const runtime::http_response& head_seen() const {
        return head_;
    }
    [[nodiscard]] const std::string& collected() const {
        return collected_;
    }

private:
    runtime::http_exchange& exchange_;
    const work& work_;
    std::shared_ptr<bool> left_;
    runtime::http_response head_;
    std::string collected_;
    bool began_ = false;
};

// What the whole request came to.
struct request_outcome {
    outcome result = outcome::not_run;
    // Status for the caller unless the work completed.
    unsigned status = 503;
    std::string message;
    duration retry_after{};
    bool caller_left = false;
    // An answer from the record of keyed work, in place of one from an upstream.
    std::optional<schema::stored_answer> replayed;
};

const std::vector<destination>* destinations_of(const lane& on, const work& w) {
    const auto& table = w.kind == rpc::work_service ? on.view->services : on.view->models;
    const auto found = table.find(w.target);
    return found == table.end() || found->second.empty() ? nullptr : &found->second;
}

// Chooses among the agents, leaving out those that refused this request in this round.
std::optional<destination> choose_destination(lane& on, const work& w,
                                              const std::set<std::string>& avoided) {
    const std::vector<destination>* all = destinations_of(on, w);
    if (all == nullptr) {
        return std::nullopt;
    }
    std::vector<const destination*> open;
    std::vector<routing::candidate> candidates;
    for (const destination& d : *all) {
        if (!avoided.contains(d.agent)) {
            open.push_back(&d);
            candidates.push_back({&on.observations[d.agent], d.slots});
        }
    }
    const auto chosen =
        routing::choose(candidates, on.shared.settings.routing, steady_now(), on.rng);
    if (!chosen) {
        return std::nullopt;
    }
    return *open[*chosen];
}

// Runs one call of the control client on its own loop.
template <class Result, class Call>
boost::asio::awaitable<Result> on_control(shared_state& s, Call call) {
    co_return co_await boost::asio::co_spawn(s.loop.context(), call, boost::asio::use_awaitable);
}

using submit_result = result<schema::command_reply, runtime::rpc_error>;

boost::asio::awaitable<submit_result> submit(lane& on, schema::command command, duration timeout) {
    auto shared = std::make_shared<schema::command>(std::move(command));
    shared_state& s = on.shared;
    const auto call = [&s, shared, timeout]() -> boost::asio::awaitable<submit_result> {
        schema::command copy = *shared;
        co_return co_await s.control.submit(std::move(copy), timeout);
    };
    co_return co_await on_control<submit_result>(s, call);
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
        s.mutable_answer()->set_status(answer->head_seen().status);
        s.mutable_answer()->set_content_type(answer->head_seen().content_type);
        s.mutable_answer()->set_body(answer->collected());
    }
    return c;
}

// Records the outcome of keyed work; goes on by itself if that takes long.
boost::asio::awaitable<void> settle(lane& on, schema::command command) {
    auto done = std::make_shared<std::atomic<bool>>(false);
    auto shared = std::make_shared<schema::command>(std::move(command));
    shared_state& s = on.shared;
    runtime::spawn(s.loop, [&s, shared, done]() -> boost::asio::awaitable<void> {
        schema::command copy = *shared;
        const auto reply = co_await s.control.submit(std::move(copy), settle_timeout);
        if (!succeeded(reply)) {
            log_event(severity::warning, event::claim_failed,
                      {{"key", shared->settle().key()}, {"reason", error(reply).message}});
        }
        *done = true;
    });
    const time_point give_up = steady_now() + settle_wait;
    while (!*done && steady_now() < give_up) {
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

// Follows work that another request under the same key has started.
boost::asio::awaitable<claim_step> follow_claim(lane& on, const work& w,
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
    const auto& services = on.view->services;
    const auto all = services.find(w.target);
    const destination* holder = nullptr;
    if (all != services.end()) {
        for (const destination& d : all->second) {
            const bool same = d.agent == claim.agent() && d.incarnation == claim.incarnation();
            holder = same ? &d : holder;
        }
    }
    const auto latest = on.view->incarnations.find(claim.agent());
    if (latest != on.view->incarnations.end() && latest->second > claim.incarnation()) {
        // Nobody can tell any more, but for the first request's own entry, which may still record
        // a completed answer over this.
        co_await settle(
            on, settle_command_of(w, claim.attempt(), schema::settle_command::unknown, nullptr));
        out.result = outcome::unknown;
        out.status = 502;
        out.message = "the agent that had an earlier request under this key has restarted";
        co_return claim_step::answered;
    }
    if (holder == nullptr) {
        // The holder is leaving, silent or gone; its own entry may still settle the claim.
        if (steady_now() + follow_poll < w.deadline) {
            co_await runtime::sleep_for(follow_poll);
            co_return claim_step::try_again;
        }
        out.result = outcome::unknown;
        out.status = 504;
        out.message = "an earlier request under this key is still open";
        co_return claim_step::answered;
    }
    attempt_plan plan;
    plan.to = *holder;
    plan.attempt = claim.attempt();
    plan.follow_only = true;
    attempt_outcome followed = co_await run_attempt(on, w, plan, sink);
    if (followed.still_open) {
        out.result = outcome::unknown;
        out.status = 504;
        out.message = "an earlier request under this key has not ended yet: " + followed.message;
        co_return claim_step::answered;
    }
    const std::int64_t age_ms =
        runtime::wall_clock_ns() / 1'000'000 - static_cast<std::int64_t>(claim.at_ms());
    if (followed.result == outcome::not_run && age_ms > to_milliseconds(trusted_memory)) {
        followed.result = outcome::unknown;
        followed.message = "its agent may have forgotten an earlier request under this key";
    }
    const bool completed = followed.result == outcome::completed;
    co_await settle(on, settle_command_of(w, plan.attempt, settle_kind(followed.result),
                                          completed ? &sink : nullptr));
    if (followed.result == outcome::not_run) {
        co_return claim_step::try_again;
    }
    out.result = followed.result;
    out.status = 502;
    out.message = followed.message;
    co_return claim_step::answered;
}

// Claims the key for one attempt before it is sent.
boost::asio::awaitable<claim_step> claim_key(lane& on, const work& w, const attempt_plan& plan,
                                             caller_sink& sink, request_outcome& out) {
    schema::command c;
    schema::claim_command& claim = *c.mutable_claim();
    claim.set_key(w.key);
    claim.set_body_digest(digest_of(w.method + " " + w.path + "\n" + w.body));
    claim.set_attempt(plan.attempt);
    claim.set_agent(plan.to.agent);
    claim.set_incarnation(plan.to.incarnation);
    const auto reply = co_await submit(on, std::move(c), w.deadline - steady_now());
    if (!succeeded(reply)) {
        // Nothing was dispatched, whatever became of the claim; a claim that stands is proved
        // unstarted by its agent when the key is used again.
        out.message = "the key could not be claimed: " + error(reply).message;
        co_return claim_step::answered;
    }
    const schema::command_reply& r = value(reply);
    if (r.status() == schema::status_done) {
        co_return claim_step::dispatch;
    }
    if (r.status() == schema::status_exists) {
        co_return co_await follow_claim(on, w, r.claim(), sink, out);
    }
    if (r.message().find("Idempotency-Key") != std::string::npos) {
        out.status = 422;
        out.message = r.message();
        co_return claim_step::answered;
    }
    co_return claim_step::try_again;
}

// True if the request may be sent once more after this outcome.
bool may_retry(lane& on, const work& w, const attempt_outcome& a, const caller_sink& sink) {
    if (a.caller_left || a.deadline_passed || steady_now() >= w.deadline || sink.began()) {
        return false;
    }
    if (a.result == outcome::not_run) {
        return true;
    }
    return w.idempotent && routing::try_spend(on.retries);
}

void learn_size(lane& on, const work& w, std::uint64_t answer_bytes) {
    // A streamed token takes an event of its own; a whole answer is its text.
    constexpr double bytes_per_event = 64.0;
    constexpr double bytes_per_token = 5.0;
    constexpr double weight = 0.05;
    const double tokens =
        static_cast<double>(answer_bytes) / (w.stream ? bytes_per_event : bytes_per_token);
    double& mean = on.sizes[w.target].mean_tokens;
    mean = mean <= 0.0 ? tokens : mean + weight * (tokens - mean);
}

boost::asio::awaitable<request_outcome> run_work(lane& on, const work& w, caller_sink& sink) {
    request_outcome out;
    out.message = "no upstream that serves `" + w.target + "` was free in time";
    std::set<std::string> avoided;
    std::uint32_t round = 0;
    bool may_have_run = false;
    routing::on_request(on.retries);
    while (steady_now() < w.deadline) {
        const std::optional<destination> to = choose_destination(on, w, avoided);
        if (!to) {
            // Every agent refused, or none serves this yet: wait, then ask all again.
            avoided.clear();
            if (sink.caller_left()) {
                out.caller_left = true;
                break;
            }
            const duration pause = std::max(destination_poll, routing::backoff(round++, on.rng));
            const duration left = w.deadline - steady_now();
            if (out.retry_after > left) {
                // It was said when to come back, and that is after the deadline.
                break;
            }
            co_await runtime::sleep_for(std::min(left, pause));
            continue;
        }
        attempt_plan plan;
        plan.to = *to;
        plan.attempt = runtime::random_hex(24);
        if (!w.key.empty()) {
            const claim_step step = co_await claim_key(on, w, plan, sink, out);
            if (step == claim_step::answered) {
                co_return out;
            }
            if (step == claim_step::try_again) {
                co_await runtime::sleep_for(destination_poll);
                continue;
            }
        }
        const attempt_outcome a = co_await run_attempt(on, w, plan, sink);
        // A claim whose attempt may still end stays open: the same key finds the outcome later.
        if (!w.key.empty() && !a.still_open) {
            const bool completed = a.result == outcome::completed;
            co_await settle(on, settle_command_of(w, plan.attempt, settle_kind(a.result),
                                                  completed ? &sink : nullptr));
        }
        out.result = a.result;
        out.message = a.message;
        out.retry_after = a.retry_after;
        out.caller_left = a.caller_left;
        may_have_run = may_have_run || a.result == outcome::unknown;
        if (a.result == outcome::completed) {
            learn_size(on, w, a.delivered);
            break;
        }
        out.status = a.result == outcome::not_run ? 503 : (a.deadline_passed ? 504 : 502);
        if (!may_retry(on, w, a, sink)) {
            break;
        }
        avoided.insert(plan.to.agent);
        on.shared.metrics.count("burdockdeck_retries_total");
        log_event(severity::debug, event::attempt_retried,
                  {{"request", w.request_id}, {"agent", plan.to.agent}, {"reason", a.message}});
    }
    if (out.result == outcome::not_run && may_have_run) {
        // The last try did not run, but an earlier one may have.
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
        r.status = sink.head_seen().status;
        r.content_type = sink.head_seen().content_type;
        r.body = sink.collected();
    }
    (void)co_await exchange.respond(std::move(r));
}

// A stream that has begun and cannot be finished ends with an error event, and without its last
// chunk, so that it cannot be taken for whole.
boost::asio::awaitable<void> break_stream(runtime::http_exchange& exchange, const work& w,
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

void note_end(lane& on, const work& w, const request_outcome& out) {
    const duration took = steady_now() - w.received;
    const std::string label = "outcome=" + std::string(name_of(out.result));
    on.shared.metrics.count("burdockdeck_requests_total", label);
    on.shared.metrics.observe("burdockdeck_request_seconds", took, label);
    runtime::write_span(
        w.span, w.parent_span, "entry.request", w.received_wall_ns, runtime::wall_clock_ns(),
        {{"request.id", w.request_id}, {"target", w.target}, {"outcome", name_of(out.result)}});
    log_event(out.result == outcome::completed ? severity::debug : severity::warning,
              event::request_ended,
              {{"request", w.request_id},
               {"target", w.target},
               {"outcome", name_of(out.result)},
               {"ms", to_milliseconds(took)},
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

// Waits for the first table after a start: what is not known yet is not undeclared.
boost::asio::awaitable<bool> wait_for_table(lane& on) {
    const time_point give_up = steady_now() + first_table_wait;
    while (on.view->revision == 0 && steady_now() < give_up) {
        co_await runtime::sleep_for(destination_poll);
    }
    co_return on.view->revision > 0;
}

boost::asio::awaitable<void> answer_work(lane& on, runtime::http_exchange& exchange) {
    if (!co_await wait_for_table(on)) {
        std::string id = request_id_of(exchange.request());
        std::string message = "this entry has no table from control yet";
        std::string not_run(name_of(outcome::not_run));
        co_await answer_error(exchange, 503, message, not_run, id, std::chrono::seconds(1));
        co_return;
    }
    // Kept for the whole request: the document that was in force when it came.
    const std::shared_ptr<const routing_view> view = on.view;
    const time_point now = steady_now();
    const known_document known{view->document, on.shared.table_confirmed};
    const auto understood = understand(exchange.request(), known, on.shared.settings, now);
    if (!succeeded(understood)) {
        const refusal& r = error(understood);
        on.shared.metrics.count("burdockdeck_refused_total", "status=" + std::to_string(r.status));
        const std::string id = request_id_of(exchange.request());
        log_event(severity::info, event::request_refused, {{"request", id}, {"reason", r.message}});
        co_await answer_error(exchange, r.status, r.message, "not_run", id, r.come_back);
        co_return;
    }
    const work& w = value(understood);
    caller_sink sink(exchange, w);
    on.shared.demand.begin(w.target, now);
    const request_outcome out = co_await run_work(on, w, sink);
    on.shared.demand.end(w.target, steady_now());
    note_end(on, w, out);
    if (sink.began()) {
        if (out.result == outcome::completed) {
            (void)co_await exchange.finish();
        } else if (!out.caller_left) {
            co_await break_stream(exchange, w, out);
        }
    } else if (out.result == outcome::completed) {
        co_await answer_completed(exchange, w, sink, out);
    } else if (!out.caller_left) {
        co_await answer_error(exchange, out.status, out.message, std::string(name_of(out.result)),
                              w.request_id, out.retry_after);
    }
}

}  // namespace burdockdeck::entry
