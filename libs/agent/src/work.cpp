// Attempts from the run request to the end of the answer.
#include <boost/asio/io_context.hpp>

#include "core.h"
#include "runtime/log.h"
#include "runtime/trace.h"

namespace burdockdeck::agent {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration heartbeat_interval = std::chrono::milliseconds(700);
// The longest silence of an engine within one answer.
constexpr duration upstream_silence = std::chrono::seconds(60);
constexpr duration cancel_timeout = std::chrono::seconds(2);
constexpr duration min_retry_after = std::chrono::milliseconds(50);
// An answer up to this size is sent when it is whole, in one frame.
constexpr std::size_t small_answer_bytes = 64 * 1024;
// An engine's broken stream is resumed this often.
constexpr std::uint32_t max_resumes = 3;

queueing::priority level_of(schema::work_priority p) {
    switch (p) {
        case schema::priority_high:
            return queueing::priority::high;
        case schema::priority_low:
            return queueing::priority::low;
        default:
            return queueing::priority::normal;
    }
}

queueing::item item_of(const attempt& a, time_point now) {
    queueing::item i;
    i.id = a.number;
    i.expected_tokens = std::max<std::uint32_t>(1, a.request.expected_tokens());
    i.level = level_of(a.request.priority());
    i.enqueued = now;
    i.deadline = now + std::chrono::milliseconds(a.request.budget_ms());
    i.sized = a.request.kind() == rpc::work_completion;
    i.resumable = a.request.kind() == rpc::work_completion && a.request.stream();
    return i;
}

void publish_report(core& c) {
    c.report.queued_tokens = static_cast<std::uint32_t>(queueing::work_ahead(c.queue));
    c.report.running = static_cast<std::uint32_t>(c.queue.running.size());
    c.report.queued = static_cast<std::uint32_t>(c.queue.waiting.size());
}

// Why new work cannot be taken; empty if it can.
std::string obstacle(const core& c, const rpc::run_request& r) {
    if (c.leaving || c.stopping) {
        return "this upstream is leaving";
    }
    if (!c.upstream.healthy || !c.upstream.announced) {
        return "no upstream has announced itself, or it does not answer";
    }
    const announcement& a = *c.upstream.announced;
    if (r.kind() == rpc::work_service) {
        const bool serves = a.kind == schema::upstream_service && a.service == r.target();
        return serves ? "" : "service `" + r.target() + "` is not here";
    }
    if (!serves_item(c, item_key(r.target(), r.version()))) {
        return "model `" + r.target() + "` version " + r.version() + " is not loaded here";
    }
    return "";
}

void release_adapter(core& c, attempt& a) {
    if (!a.holds_adapter) {
        return;
    }
    a.holds_adapter = false;
    queue_adapter_holders(c, admission::release(c.adapters, 1));
}

// Called once for each attempt when it has ended.
void retire(core& c, const std::shared_ptr<attempt>& a) {
    if (a->state == attempt_state::ended) {
        return;
    }
    a->state = attempt_state::ended;
    queueing::finish(c.queue, a->number, steady_now());
    (void)queueing::withdraw(c.queue, a->number);
    (void)admission::withdraw(c.adapters, a->number);
    release_adapter(c, *a);
    c.by_number.erase(a->number);
    c.kept_bytes += a->answer_bytes();
    c.ended.emplace_back(steady_now(), a);
    const auto parent = runtime::parse_traceparent(a->request.traceparent());
    runtime::write_span(a->span, parent ? parent->span_id : "", "agent.run", a->enqueued_wall_ns,
                        runtime::wall_clock_ns(),
                        {{"request.id", a->request.request_id()},
                         {"attempt", a->request.attempt()},
                         {"agent", c.settings.name},
                         {"target", a->request.target()}});
}

void end_not_run(core& c, const std::shared_ptr<attempt>& a, const std::string& why,
                 duration retry_after = {}) {
    a->end(rpc::run_not_run, why, retry_after);
    retire(c, a);
}

std::shared_ptr<runtime::http_client> client_on(core& c, runtime::loop& on) {
    auto& client = c.work_clients[&on];
    if (client == nullptr) {
        client = std::make_shared<runtime::http_client>(on, c.upstream.announced->address);
    }
    return client;
}

struct upstream_result {
    bool ended_well = false;
    bool not_sent = false;
    bool refused = false;
    std::string message;
};

// Appends an answer to its attempt. Of a stream of events only whole events are passed on, so that
// a resumed stream can go on behind the last one.
class answer_sink {
public:
    answer_sink(std::shared_ptr<attempt> a, std::size_t limit) : a_(std::move(a)), limit_(limit) {}

    void head(unsigned status, const runtime::header_list& headers) {
        status_ = status;
        runtime::http_request probe;
        probe.headers = headers;
        content_type_ = probe.header("Content-Type");
        events_ = content_type_.starts_with("text/event-stream");
        const bool refused = a_->request.kind() == rpc::work_completion && engine_refused(status);
        if (!refused) {
            a_->begin_answer(status, content_type_, events_);
        }
    }

    bool body(std::string_view bytes) {
        if (engine_refused(status_) && a_->request.kind() == rpc::work_completion) {
            refusal_ += bytes.substr(0, 512);
            return true;
        }
        if (a_->answer_bytes() + bytes.size() > limit_) {
            return false;
        }
        if (!events_) {
            a_->append(bytes, a_->answer_bytes() > small_answer_bytes);
            return true;
        }
        pending_ += bytes;
        const std::size_t whole = pending_.rfind("\n\n");
        if (whole != std::string::npos) {
            a_->append(std::string_view(pending_).substr(0, whole + 2), true);
            pending_.erase(0, whole + 2);
        }
        return true;
    }

    // The rest of a whole answer that does not end with an event.
    void finish() {
        a_->append(pending_, false);
    }

    [[nodiscard]] unsigned status() const {
        return status_;
    }
    [[nodiscard]] const std::string& refusal() const {
        return refusal_;
    }

private:
    std::shared_ptr<attempt> a_;
    std::size_t limit_;
    unsigned status_ = 0;
    bool events_ = false;
    std::string content_type_;
    std::string pending_;
    std::string refusal_;
};

void upstream_ended(core& c, const std::shared_ptr<attempt>& a, const upstream_result& r);

// One exchange with the upstream, on a traffic loop.
boost::asio::awaitable<void> exchange(core& c, std::shared_ptr<attempt> a,
                                      std::shared_ptr<runtime::http_client> client, bool resume) {
    answer_sink sink(a, c.settings.max_answer_bytes);
    runtime::http_reader reader;
    reader.on_head = [&](unsigned status, const runtime::header_list& headers) {
        sink.head(status, headers);
    };
    reader.on_body = [&](std::string_view bytes) { return sink.body(bytes); };
    runtime::http_call_options options;
    options.timeout = std::chrono::hours(24);
    options.idle_timeout = upstream_silence;
    // A call that may run only once must not meet a connection that its peer has just closed.
    options.fresh_connection = a->request.kind() == rpc::work_service;
    runtime::http_request request =
        work_request(a->request, runtime::to_traceparent(a->span), resume, a->events());
    const auto called = co_await client->call(std::move(request), reader, options);
    upstream_result r;
    if (succeeded(called)) {
        r.ended_well = true;
        r.refused = a->request.kind() == rpc::work_completion && engine_refused(sink.status());
        r.message = sink.refusal();
        sink.finish();
        if (!r.refused) {
            // The caller need not wait for the control loop.
            a->end(rpc::run_completed, "");
        }
    } else {
        r.not_sent = error(called).not_sent;
        r.message = error(called).message;
    }
    c.loop.post([&c, a, r] { upstream_ended(c, a, r); });
}

void run_at_upstream(core& c, const std::shared_ptr<attempt>& a, bool resume) {
    runtime::loop& on = c.traffic.next();
    const auto client = client_on(c, on);
    runtime::spawn(on, [&c, a, client, resume] { return exchange(c, a, client, resume); });
}

void start(core& c, const std::shared_ptr<attempt>& a) {
    const bool resume = a->state == attempt_state::preempted;
    a->state = attempt_state::running;
    a->started = steady_now();
    if (!resume) {
        c.metrics.observe("burdockdeck_queue_wait_seconds", a->started - a->enqueued);
    }
    run_at_upstream(c, a, resume);
}

// Puts preempted work back in line; its place is kept by its first arrival.
void requeue(core& c, const std::shared_ptr<attempt>& a) {
    queueing::finish(c.queue, a->number, steady_now());
    a->state = attempt_state::preempted;
    queueing::item i = item_of(*a, a->enqueued);
    i.deadline = time_point::max();
    queueing::enqueue(c.queue, i);
    pump_queue(c);
}

void upstream_ended(core& c, const std::shared_ptr<attempt>& a, const upstream_result& r) {
    if (a->state == attempt_state::ended) {
        return;
    }
    const bool completion = a->request.kind() == rpc::work_completion;
    const bool untouched = a->answer_bytes() == 0 && a->preemptions == 0;
    if (r.ended_well && r.refused && !untouched) {
        a->end(rpc::run_unknown, "the engine no longer knows the stream: " + r.message);
        retire(c, a);
    } else if (r.ended_well && r.refused) {
        c.upstream.inventory_read = c.upstream.inventory_read && r.message.empty();
        end_not_run(c, a, "the engine refused: " + r.message, min_retry_after);
    } else if (r.ended_well) {
        a->end(rpc::run_completed, "");
        retire(c, a);
    } else if (a->state == attempt_state::preempted) {
        requeue(c, a);
    } else if (r.not_sent && untouched) {
        c.upstream.healthy = false;
        end_not_run(c, a, "the upstream cannot be reached: " + r.message, min_retry_after);
    } else if (completion && a->request.stream() && a->events() > 0 && !a->stop_wanted &&
               a->preemptions < max_resumes) {
        // The engine keeps a broken stream's state for a while.
        ++a->preemptions;
        run_at_upstream(c, a, true);
    } else {
        a->end(rpc::run_unknown, "the upstream's answer was cut: " + r.message);
        retire(c, a);
    }
    pump_queue(c);
}

// Stops long work for short work that waits. The stream's end brings it back into the queue.
void preempt(core& c) {
    const std::optional<std::uint64_t> victim = queueing::preemption_victim(c.queue);
    if (!victim) {
        return;
    }
    const std::shared_ptr<attempt> a = c.by_number.at(*victim);
    if (a->state != attempt_state::running || a->events() == 0 || a->preemptions >= max_resumes) {
        return;
    }
    ++a->preemptions;
    a->state = attempt_state::preempted;
    c.metrics.count("burdockdeck_preemptions_total");
    runtime::spawn(c.loop, [&c, a]() -> boost::asio::awaitable<void> {
        runtime::http_call_options options;
        options.timeout = cancel_timeout;
        runtime::http_request request = cancel_request(a->request.attempt(), true);
        const auto told = co_await c.orders_client->fetch(std::move(request), options);
        const bool stopped = succeeded(told) && value(told).status == 200;
        if (!stopped && a->state == attempt_state::preempted) {
            // The engine goes on with it.
            a->state = attempt_state::running;
        }
    });
}

void count_progress(core& c) {
    for (const auto& [number, running] : c.queue.running) {
        const auto found = c.by_number.find(number);
        if (found == c.by_number.end()) {
            continue;
        }
        const attempt& a = *found->second;
        const std::uint64_t tokens = a.request.stream() ? a.events() : running.work.expected_tokens;
        queueing::progress(c.queue, number, static_cast<std::uint32_t>(tokens));
    }
}

}  // namespace

void queue_adapter_holders(core& c, const std::vector<admission::waiter>& holders) {
    for (const admission::waiter& w : holders) {
        const auto found = c.by_number.find(w.id);
        if (found != c.by_number.end()) {
            found->second->holds_adapter = true;
            queueing::enqueue(c.queue, item_of(*found->second, found->second->enqueued));
        }
    }
}

void pump_queue(core& c) {
    const time_point now = steady_now();
    count_progress(c);
    for (const queueing::item& i : queueing::take_expired(c.queue, now)) {
        end_not_run(c, c.by_number.at(i.id), "its deadline passed while it waited here");
    }
    for (const admission::waiter& w : admission::take_expired(c.adapters, now)) {
        end_not_run(c, c.by_number.at(w.id), "its deadline passed while it waited for an adapter");
    }
    while (const std::optional<queueing::item> next = queueing::start_next(c.queue, now)) {
        start(c, c.by_number.at(next->id));
    }
    preempt(c);
    publish_report(c);
}

void take_run(core& c, const rpc::run_request& r, const std::shared_ptr<answer_stream>& stream) {
    const time_point now = steady_now();
    if (r.incarnation() != c.incarnation) {
        stream->refuse(r.resume() ? rpc::run_unknown : rpc::run_not_run,
                       "another incarnation of this agent was meant");
        return;
    }
    if (c.tombstones.contains(r.attempt())) {
        stream->refuse(rpc::run_not_run, "the attempt was cancelled before it started");
        return;
    }
    const auto known = c.attempts.find(r.attempt());
    if (known != c.attempts.end()) {
        stream->follow(known->second);
        return;
    }
    if (r.resume()) {
        // Never seen by this incarnation, and from now on it never will start.
        c.tombstones[r.attempt()] = now;
        stream->refuse(rpc::run_not_run, "the attempt never arrived here");
        return;
    }
    const std::string why = obstacle(c, r);
    if (!why.empty()) {
        c.tombstones[r.attempt()] = now;
        stream->refuse(rpc::run_not_run, why, min_retry_after);
        return;
    }
    auto a = std::make_shared<attempt>(++c.last_number, r);
    a->enqueued = now;
    a->enqueued_wall_ns = runtime::wall_clock_ns();
    a->span = runtime::child_of(runtime::parse_traceparent(r.traceparent()));
    const queueing::item item = item_of(*a, now);
    if (queueing::cannot_meet_deadline(c.queue, item, now)) {
        c.tombstones[r.attempt()] = now;
        const duration wait = queueing::expected_wait(c.queue, item.expected_tokens, item.level);
        c.metrics.count("burdockdeck_shed_total");
        stream->refuse(rpc::run_not_run, "its deadline cannot be met here",
                       std::max<duration>(wait / 2, min_retry_after));
        return;
    }
    c.attempts[r.attempt()] = a;
    c.by_number[a->number] = a;
    stream->follow(a);
    if (!r.adapter().empty()) {
        if (!admission::acquire_or_wait(c.adapters, {a->number, 1, item.deadline})) {
            return;
        }
        a->holds_adapter = true;
    }
    queueing::enqueue(c.queue, item);
    pump_queue(c);
}

rpc::cancel_reply::cancel_status forbid(core& c, const rpc::cancel_request& r) {
    if (r.incarnation() != c.incarnation) {
        return rpc::cancel_reply::other_incarnation;
    }
    const auto known = c.attempts.find(r.attempt());
    if (known == c.attempts.end()) {
        c.tombstones[r.attempt()] = steady_now();
        return rpc::cancel_reply::tombstoned;
    }
    const std::shared_ptr<attempt> a = known->second;
    if (a->state == attempt_state::waiting) {
        end_not_run(c, a, "cancelled before it started");
        pump_queue(c);
        return rpc::cancel_reply::tombstoned;
    }
    return rpc::cancel_reply::started;
}

rpc::cancel_reply::cancel_status stop_attempt(core& c, const rpc::cancel_request& r) {
    const rpc::cancel_reply::cancel_status status = forbid(c, r);
    if (status != rpc::cancel_reply::started) {
        return status;
    }
    const std::shared_ptr<attempt> a = c.attempts.at(r.attempt());
    const bool stoppable = a->state != attempt_state::ended && !a->stop_wanted &&
                           a->request.kind() == rpc::work_completion;
    if (!stoppable) {
        return status;
    }
    a->stop_wanted = true;
    runtime::spawn(c.loop, [&c, a]() -> boost::asio::awaitable<void> {
        runtime::http_call_options options;
        options.timeout = cancel_timeout;
        runtime::http_request request = cancel_request(a->request.attempt(), false);
        (void)co_await c.orders_client->fetch(std::move(request), options);
        if (a->state == attempt_state::preempted) {
            a->end(rpc::run_unknown, "stopped");
            retire(c, a);
            pump_queue(c);
        }
    });
    return status;
}

void sweep_attempts(core& c) {
    const time_point now = steady_now();
    std::vector<std::shared_ptr<attempt>> live;
    for (const auto& [number, a] : c.by_number) {
        live.push_back(a);
    }
    for (const auto& a : live) {
        a->heartbeat(now - heartbeat_interval);
        time_point since;
        if (a->orphaned_since(since) && now - since > c.settings.orphan_timeout) {
            rpc::cancel_request r;
            r.set_attempt(a->request.attempt());
            r.set_incarnation(c.incarnation);
            (void)stop_attempt(c, r);
        }
    }
    for (auto it = c.ended.begin();
         it != c.ended.end() && c.kept_bytes > c.settings.kept_answer_bytes; ++it) {
        c.kept_bytes -= std::min(c.kept_bytes, it->second->answer_bytes());
        it->second->forget();
    }
    while (!c.ended.empty() && now - c.ended.front().first > remembered_for) {
        const auto& a = c.ended.front().second;
        c.kept_bytes -= std::min(c.kept_bytes, a->answer_bytes());
        c.attempts.erase(a->request.attempt());
        c.ended.pop_front();
    }
    std::erase_if(c.tombstones, [&](const auto& t) { return now - t.second > remembered_for; });
    pump_queue(c);
}

std::size_t work_on(const core& c, const std::string& model, const std::string& version) {
    std::size_t count = 0;
    for (const auto& [number, a] : c.by_number) {
        count += a->request.kind() == rpc::work_completion && a->request.target() == model &&
                 a->request.version() == version;
    }
    return count;
}

}  // namespace burdockdeck::agent
