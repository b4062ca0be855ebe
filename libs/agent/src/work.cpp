// Runs attempts at the upstream: admission, queueing, exchange, preemption, resumption and cleanup.
#include <boost/asio/io_context.hpp>

#include "answer_sink.h"
#include "core.h"
#include "runtime/log.h"
#include "runtime/trace.h"

namespace burdockdeck::agent {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration heartbeat_interval = std::chrono::milliseconds(700);
// An exchange fails when the upstream sends nothing for this long.
constexpr duration upstream_idle_timeout = std::chrono::seconds(60);
constexpr duration cancel_timeout = std::chrono::seconds(2);
constexpr duration min_retry_after = std::chrono::milliseconds(50);
// Limit on the preemptions and resumptions of one attempt.
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

// Why a request cannot be accepted; empty if it can.
std::string rejection_reason(const core& c, const rpc::run_request& r) {
    if (c.leaving || c.stopping) {
        return "the agent of this upstream is draining or shutting down";
    }
    if (!c.upstream.healthy || !c.upstream.announced) {
        return "no upstream has announced itself to this agent, or it is not healthy";
    }
    const announcement& a = *c.upstream.announced;
    if (r.kind() == rpc::work_service) {
        const bool serves = a.kind == schema::upstream_service && a.service == r.target();
        return serves ? "" : "service `" + r.target() + "` is not served by this upstream";
    }
    if (!serves_item(c, item_key(r.target(), r.version()))) {
        return "model `" + r.target() + "` version " + r.version() +
               " is not loaded and assigned here";
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

// Releases the resources of an ended attempt and keeps its answer. Later calls have no effect.
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

std::shared_ptr<runtime::http_client> client_for(core& c, runtime::loop& event_loop) {
    auto& client = c.work_clients[&event_loop];
    if (client == nullptr) {
        client = std::make_shared<runtime::http_client>(event_loop, c.upstream.announced->address);
    }
    return client;
}

struct upstream_result {
    bool completed = false;
    bool not_sent = false;
    bool refused = false;
    std::string message;
};

void handle_upstream_result(core& c, const std::shared_ptr<attempt>& a, const upstream_result& r);

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
    options.idle_timeout = upstream_idle_timeout;
    // The peer may just have closed a reused connection; a call that may run only once must
    // not be sent over it.
    options.fresh_connection = a->request.kind() == rpc::work_service;
    runtime::http_request request =
        work_request(a->request, runtime::to_traceparent(a->span), resume, a->events());
    const auto called = co_await client->call(std::move(request), reader, options);
    upstream_result r;
    if (succeeded(called)) {
        r.completed = sink.finish();
        r.refused = a->request.kind() == rpc::work_completion && engine_refused(sink.status());
        r.message = r.completed ? sink.refusal() : "the stream ended inside an event or before any";
        if (r.completed && !r.refused) {
            // Ended on the traffic loop, so that the caller does not wait for the control loop.
            a->end(rpc::run_completed, "");
        }
    } else {
        r.not_sent = error(called).not_sent;
        r.message = error(called).message;
    }
    c.loop.post([&c, a, r] { handle_upstream_result(c, a, r); });
}

void run_at_upstream(core& c, const std::shared_ptr<attempt>& a, bool resume) {
    runtime::loop& event_loop = c.traffic.next();
    const auto client = client_for(c, event_loop);
    runtime::spawn(event_loop, [&c, a, client, resume] { return exchange(c, a, client, resume); });
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

// Queues preempted work again, ordered by its original arrival.
void requeue(core& c, const std::shared_ptr<attempt>& a) {
    queueing::finish(c.queue, a->number, steady_now());
    a->state = attempt_state::preempted;
    queueing::item i = item_of(*a, a->enqueued);
    i.deadline = time_point::max();
    queueing::enqueue(c.queue, i);
    pump_queue(c);
}

void handle_upstream_result(core& c, const std::shared_ptr<attempt>& a, const upstream_result& r) {
    if (a->state == attempt_state::ended) {
        return;
    }
    const bool completion = a->request.kind() == rpc::work_completion;
    const bool no_output = a->answer_bytes() == 0 && a->interruptions == 0;
    if (r.completed && r.refused && !no_output) {
        a->end(rpc::run_unknown, "the engine refused to resume the stream: " + r.message);
        retire(c, a);
    } else if (r.completed && r.refused) {
        c.upstream.inventory_read = c.upstream.inventory_read && r.message.empty();
        end_not_run(c, a, "the engine refused the request: " + r.message, min_retry_after);
    } else if (r.completed) {
        a->end(rpc::run_completed, "");
        retire(c, a);
    } else if (a->state == attempt_state::preempted) {
        requeue(c, a);
    } else if (r.not_sent && no_output) {
        c.upstream.healthy = false;
        end_not_run(c, a, "cannot reach the upstream: " + r.message, min_retry_after);
    } else if (completion && a->request.stream() && a->events() > 0 && !a->stop_requested &&
               a->interruptions < max_resumes) {
        // The stream can be resumed: the engine keeps its state for some time after a break.
        ++a->interruptions;
        run_at_upstream(c, a, true);
    } else {
        a->end(rpc::run_unknown,
               "the upstream's answer ended before it was complete: " + r.message);
        retire(c, a);
    }
    pump_queue(c);
}

// Preempts a long request in favour of waiting short ones. It is queued again when its stream ends.
void preempt(core& c) {
    const std::optional<std::uint64_t> victim = queueing::preemption_victim(c.queue);
    if (!victim) {
        return;
    }
    const std::shared_ptr<attempt> a = c.by_number.at(*victim);
    if (a->state != attempt_state::running || a->events() == 0 || a->interruptions >= max_resumes) {
        return;
    }
    ++a->interruptions;
    a->state = attempt_state::preempted;
    c.metrics.count("burdockdeck_preemptions_total");
    runtime::spawn(c.loop, [&c, a]() -> boost::asio::awaitable<void> {
        runtime::http_call_options options;
        options.timeout = cancel_timeout;
        runtime::http_request request = cancel_request(a->request.attempt(), true);
        const auto cancelled = co_await c.orders_client->fetch(std::move(request), options);
        const bool stopped = succeeded(cancelled) && value(cancelled).status == 200;
        if (!stopped && a->state == attempt_state::preempted) {
            // The engine did not confirm the cancellation, so the request still runs.
            a->state = attempt_state::running;
        }
    });
}

void update_progress(core& c) {
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
    update_progress(c);
    for (const queueing::item& i : queueing::take_expired(c.queue, now)) {
        end_not_run(c, c.by_number.at(i.id),
                    "the deadline could no longer be met after waiting in the queue");
    }
    for (const admission::waiter& w : admission::take_expired(c.adapters, now)) {
        end_not_run(c, c.by_number.at(w.id), "the deadline passed while waiting for an adapter");
    }
    while (const std::optional<queueing::item> next = queueing::start_next(c.queue, now)) {
        start(c, c.by_number.at(next->id));
    }
    preempt(c);
    publish_report(c);
}

void handle_run(core& c, const rpc::run_request& r, const std::shared_ptr<answer_stream>& stream) {
    const time_point now = steady_now();
    if (r.incarnation() != c.incarnation) {
        stream->refuse(r.resume() ? rpc::run_unknown : rpc::run_not_run,
                       "the request is for another incarnation of this agent");
        return;
    }
    if (c.tombstones.contains(r.attempt())) {
        stream->refuse(rpc::run_not_run, "the attempt was cancelled or refused before it started");
        return;
    }
    const auto known = c.attempts.find(r.attempt());
    if (known != c.attempts.end()) {
        stream->follow(known->second);
        return;
    }
    if (r.resume()) {
        // This incarnation has not received the attempt; the tombstone prevents a later start.
        c.tombstones[r.attempt()] = now;
        stream->refuse(rpc::run_not_run,
                       "this incarnation of the agent never received the attempt");
        return;
    }
    const std::string why = rejection_reason(c, r);
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
        stream->refuse(rpc::run_not_run, "the expected time at this upstream exceeds the deadline",
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

rpc::cancel_reply::cancel_status cancel_before_start(core& c, const rpc::cancel_request& r) {
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
        end_not_run(c, a, "the attempt was cancelled before it started");
        pump_queue(c);
        return rpc::cancel_reply::tombstoned;
    }
    return rpc::cancel_reply::started;
}

rpc::cancel_reply::cancel_status stop_attempt(core& c, const rpc::cancel_request& r) {
    const rpc::cancel_reply::cancel_status status = cancel_before_start(c, r);
    if (status != rpc::cancel_reply::started) {
        return status;
    }
    const std::shared_ptr<attempt> a = c.attempts.at(r.attempt());
    const bool stoppable = a->state != attempt_state::ended && !a->stop_requested &&
                           a->request.kind() == rpc::work_completion;
    if (!stoppable) {
        return status;
    }
    a->stop_requested = true;
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
        it->second->drop_answer();
    }
    while (!c.ended.empty() && now - c.ended.front().first > attempt_retention) {
        const auto& a = c.ended.front().second;
        c.kept_bytes -= std::min(c.kept_bytes, a->answer_bytes());
        c.attempts.erase(a->request.attempt());
        c.ended.pop_front();
    }
    std::erase_if(c.tombstones, [&](const auto& t) { return now - t.second > attempt_retention; });
    pump_queue(c);
}

std::size_t count_requests(const core& c, const std::string& model, const std::string& version) {
    std::size_t count = 0;
    for (const auto& [number, a] : c.by_number) {
        count += a->request.kind() == rpc::work_completion && a->request.target() == model &&
                 a->request.version() == version;
    }
    return count;
}

}  // namespace burdockdeck::agent
