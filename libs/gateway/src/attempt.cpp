// One attempt at one upstream: gets a connection, sends the request and forwards the answer.
#include <algorithm>
#include <array>
#include <cstdio>

#include "answer_memory.h"
#include "attempt_headers.h"
#include "quarantine.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "stream_origin.h"
#include "upstream_notices.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using dispatch::attempt_outcome;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

constexpr duration connect_timeout = std::chrono::milliseconds(250);
// Idle time-out of an upstream's connections if its answers do not state one.
constexpr duration default_keep_alive = std::chrono::seconds(4);
// The connection of a begun answer lasts this much longer than its caller's patience.
constexpr duration liveness_margin = std::chrono::milliseconds(500);
// Answers that are not streams are read completely before they are forwarded; longer ones fail.
constexpr std::size_t max_buffered_answer_bytes = 1024 * 1024;
// A stream with a longer event is treated as broken, so that an event that never ends takes bounded
// memory.
constexpr std::size_t max_event_bytes = 1024 * 1024;
// A stream that sends more than this between two events with data, such as comments or empty lines,
// is treated as broken.
constexpr std::size_t max_bytes_without_data = 64 * 1024;
constexpr unsigned no_content = 204;
constexpr unsigned first_server_error = 500;
// An engine's prompt speed cannot be measured precisely enough with shorter prompts.
constexpr std::uint32_t min_sample_tokens = 1000;
constexpr double idle_backlog_ms = 4;
// Counts the request in the upstream's load and in the demand while the attempt lasts.
struct in_flight_guard {
    core& c;
    std::string id;
    demand_key key;
    double unread_ms;
    std::uint32_t kv;

    in_flight_guard(core& gateway_core, const dispatch::choice& to, const request_state& r)
        : c(gateway_core),
          id(to.to->id),
          key(demand_key_of(gateway_core, r)),
          unread_ms(to.read_ms),
          kv(r.facts.needs.prompt_tokens + r.facts.needs.output_tokens) {
        ++to.to->in_flight;
        dispatch::record_sent(*to.to, unread_ms);
        to.to->kv_tokens += kv;
        ++c.demand[key].in_flight;
    }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    // Subtracts the prompt's expected processing time from the upstream's total; called when the
    // first event arrives.
    void prompt_read() {
        if (dispatch::upstream* u = find()) {
            u->unread_ms -= std::min(u->unread_ms, unread_ms);
        }
        unread_ms = 0;
    }
    ~in_flight_guard() {
        prompt_read();
        if (dispatch::upstream* u = find()) {
            u->in_flight -= u->in_flight > 0 ? 1 : 0;
            u->kv_tokens -= std::min<std::uint64_t>(u->kv_tokens, kv);
        }
        --c.demand[key].in_flight;
    }
    [[nodiscard]] dispatch::upstream* find() const {
        const auto found = c.view.upstreams.find(id);
        return found == c.view.upstreams.end() ? nullptr : &found->second;
    }
};

std::string encode_chunk(std::string_view bytes) {
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out = size.data();
    out += bytes;
    out += "\r\n";
    return out;
}

// `slowness` is the observed time to the first byte divided by the expected one; 0 if unknown.
void count_outcome(in_flight_guard& guard, attempt_outcome o, double slowness = 0) {
    if (dispatch::upstream* u = guard.find()) {
        const bool was_ejected = u->health.ejected_until > runtime::boot_now();
        dispatch::record_outcome(*u, o, slowness, runtime::boot_now());
        if (!was_ejected && u->health.ejected_until > runtime::boot_now()) {
            log_event(severity::info, event::upstream_ejected,
                      {{"upstream", u->id},
                       {"failures_in_row", u->health.failures_in_row},
                       {"errors", u->health.errors}});
        }
    }
}

// An answer that has no body by its status is no stream, whatever its type says.
bool is_stream(const exchange& e) {
    return e.status() != no_content &&
           find_header(e.headers(), "Content-Type").substr(0, 17) == "text/event-stream";
}

void record_event_time(request_state& r, time_point now) {
    if (r.last_event_at == time_point{}) {
        r.time_to_first_event = now - r.request.arrived;
    } else {
        r.longest_gap = std::max(r.longest_gap, now - r.last_event_at);
    }
    r.last_event_at = now;
}

// Updates the model's prompt speed from the time to the first event. A sample counts only if the
// engine had no other prompts to process and cached parts of this prompt are known, since the
// number of tokens processed is uncertain otherwise.
void record_read_speed(core& c, const request_state& r, double first_event_ms) {
    const bool cached_part_known = r.read_tokens < r.facts.needs.prompt_tokens;
    if (cached_part_known && r.read_tokens >= min_sample_tokens && r.engine_was_idle) {
        dispatch::record_read_sample(c.speeds, r.facts.needs.model, r.read_tokens, first_event_ms,
                                     c.settings.choice.read_tokens_per_ms);
    }
}

constexpr std::string_view dropped_reason = "dropped: the gateway holds too many bytes of answers";

// Closes the connections of an answer that is dropped.
std::function<void()> drop_action(session& caller, const request_state& r,
                                  const std::shared_ptr<exchange>& e) {
    return [&caller, &r, e] {
        e->abort();
        if (!r.awaits_upstream) {
            caller.close_now();
        }
    };
}

// True if a stream whose body has ended may be complete: it does not end inside an event, and one
// that ends with its connection has at least one event.
bool may_be_complete(const exchange& e, const event_splitter& s) {
    const bool inside_event = s.pending.find_first_not_of("\r\n") != std::string::npos;
    return !inside_event && (s.events > 0 || !e.ends_with_connection());
}

// Forwards complete events as they arrive.
asio::awaitable<attempt_end> forward_stream(core& c, session& caller, request_state& r,
                                            std::shared_ptr<exchange> e, in_flight_guard& guard,
                                            time_point sent_at, double expected_ms) {
    // The caller may still wait for a begun answer when a request would be given up.
    e->tolerate_silence(r.route.caller_silence_timeout + liveness_margin);
    event_splitter splitter;
    const bool resumed = r.head_sent;
    if (resumed) {
        splitter.last_id = r.events.last_id;
    }
    answer_hold hold(c.answers_held, drop_action(caller, r, e));
    bool first = true;
    bool other_software = false;
    body_status status = body_status::more;
    while (status == body_status::more) {
        const duration left = time_left(r, runtime::boot_now());
        if (left <= duration::zero()) {
            r.last_failure = "deadline reached while reading the stream";
            record_ending(r, cut_cause::deadline, "", runtime::boot_now());
            break;
        }
        std::string bytes;
        status = co_await e->read(bytes, left);
        std::string events = extract_events(splitter, bytes);
        hold.resize(splitter.pending.capacity() + events.capacity());
        if (hold.dropped()) {
            r.last_failure = dropped_reason;
            record_ending(r, cut_cause::answer_invalid, r.last_failure, runtime::boot_now());
            status = body_status::broken;
            break;
        }
        if (resumed && !splitter.ids_increase) {
            r.last_failure = "resumed stream repeats events that were forwarded";
            record_ending(r, cut_cause::answer_invalid, r.last_failure, runtime::boot_now());
            status = body_status::broken;
            break;
        }
        if (status == body_status::complete && !may_be_complete(*e, splitter)) {
            r.last_failure = splitter.events == 0 ? "stream ended before its first event"
                                                  : "stream ended inside an event";
            if (e->ends_with_connection()) {
                e->mark_truncated();
            }
            status = body_status::broken;
        } else if (status == body_status::complete) {
            events += splitter.pending;
        }
        if (splitter.pending.size() > max_event_bytes) {
            r.last_failure = "event longer than the limit";
            record_ending(r, cut_cause::answer_invalid, r.last_failure, runtime::boot_now());
            status = body_status::broken;
        }
        if (splitter.bytes_without_data > max_bytes_without_data) {
            r.last_failure = "more bytes without data than the limit";
            record_ending(r, cut_cause::answer_invalid, r.last_failure, runtime::boot_now());
            status = body_status::broken;
        }
        if (status == body_status::broken) {
            record_ending(r,
                          e->ended_by() == end_cause::timeout ? cut_cause::deadline
                                                              : cut_cause::upstream_closed,
                          e->failure(), runtime::boot_now());
        }
        if (events.empty()) {
            continue;
        }
        if (first && is_bound_to_version(r) &&
            !bind_if_sound(c, r, guard.find(), runtime::boot_now())) {
            other_software = true;
            status = body_status::broken;
            break;
        }
        withdraw_successor(r);
        // While the caller is slow to read, the upstream is not silent.
        r.awaits_upstream = false;
        r.last_progress_at = runtime::boot_now();
        record_event_time(r, runtime::boot_now());
        record_event(c, r, guard.id, runtime::boot_now());
        if (first) {
            first = false;
            r.cut.reset();
            guard.prompt_read();
            const double took_ms = 1000 * to_seconds(runtime::boot_now() - sent_at);
            count_outcome(guard, attempt_outcome::served,
                          expected_ms > 0 ? took_ms / (expected_ms + 50) : 0);
            record_read_speed(c, r, took_ms);
        }
        if (!r.head_sent) {
            r.head_sent = true;
            const header_list headers = headers_to_return(e->headers());
            if (!co_await caller.begin(e->status(), headers)) {
                record_ending(r, cut_cause::write_failed, caller.failure(), runtime::boot_now());
                e->abort();
                co_return attempt_end::finished;
            }
        }
        if (splitter.last_id) {
            r.events.last_id = splitter.last_id;
        }
        r.events.events_without_id = splitter.events_without_id;
        const std::string chunk = encode_chunk(events);
        if (!co_await caller.write(chunk)) {
            record_ending(r, cut_cause::write_failed, caller.failure(), runtime::boot_now());
            e->abort();
            co_return attempt_end::finished;
        }
        hold.resize(splitter.pending.capacity());
        ++r.events_forwarded;
        r.last_progress_at = runtime::boot_now();
        r.awaits_upstream = true;
    }
    if (status == body_status::complete) {
        if (!r.head_sent) {
            r.head_sent = true;
            const header_list headers = headers_to_return(e->headers());
            (void)co_await caller.begin(e->status(), headers);
        }
        // An engine that crashes also ends an answer without a length.
        if (!e->ends_with_connection()) {
            record_complete_answer(c, r, guard.id, runtime::boot_now());
        }
        if (!co_await caller.finish()) {
            record_ending(r, cut_cause::write_failed, caller.failure(), runtime::boot_now());
        }
        co_return attempt_end::finished;
    }
    if (r.last_failure.empty()) {
        r.last_failure = e->failure();
    }
    if (!first) {
        r.cut = r.ending;
    }
    const bool quarantined = is_ended_by_quarantine(c, r, *e);
    e->abort();
    if (!quarantined && !other_software) {
        count_outcome(guard, attempt_outcome::failed);
    }
    co_return attempt_end::unknown;
}

// Reads the complete answer, then forwards it.
asio::awaitable<attempt_end> forward_buffered(core& c, session& caller, request_state& r,
                                              std::shared_ptr<exchange> e, in_flight_guard& guard) {
    caller_answer answer;
    answer_hold hold(c.answers_held, drop_action(caller, r, e));
    body_status status = body_status::more;
    while (status == body_status::more && answer.body.size() < max_buffered_answer_bytes) {
        const duration left = time_left(r, runtime::boot_now());
        if (left <= duration::zero()) {
            break;
        }
        status = co_await e->read(answer.body, left);
        r.last_progress_at = runtime::boot_now();
        hold.resize(answer.body.capacity());
        if (hold.dropped()) {
            status = body_status::broken;
        }
    }
    if (status != body_status::complete) {
        r.last_failure = hold.dropped() ? std::string(dropped_reason)
                         : e->failure().empty()
                             ? "answer longer than the limit or not complete before the deadline"
                             : e->failure();
        const bool late = e->ended_by() == end_cause::timeout ||
                          time_left(r, runtime::boot_now()) <= duration::zero();
        const bool too_long = hold.dropped() || (status == body_status::more && !late);
        record_ending(r,
                      late       ? cut_cause::deadline
                      : too_long ? cut_cause::answer_invalid
                                 : cut_cause::upstream_closed,
                      e->failure(), runtime::boot_now());
        const bool quarantined = is_ended_by_quarantine(c, r, *e);
        e->abort();
        if (!quarantined) {
            count_outcome(guard, attempt_outcome::failed);
        }
        co_return attempt_end::unknown;
    }
    answer.status = e->status();
    answer.headers = headers_to_return(e->headers());
    r.awaits_upstream = false;
    (void)co_await caller.respond(std::move(answer));
    co_return attempt_end::finished;
}

// Decides from the head of an answer how the attempt ends; empty if the answer is to be forwarded.
std::optional<attempt_end> classify_head(core& c, request_state& r, const exchange& e,
                                         const dispatch::choice& to, in_flight_guard& guard) {
    const unsigned status = e.status();
    if (e.facts().not_run) {
        r.last_failure = "not executed by the upstream, status " + std::to_string(status);
        if (status == 421 && !r.facts.needs.model.empty()) {
            // The upstream no longer has the model or adapter, or another upstream now has this
            // address.
            if (dispatch::upstream* u = guard.find()) {
                const auto model = u->models.find(r.facts.needs.model);
                const bool without_adapter = r.facts.needs.adapter.empty();
                if (model != u->models.end() && without_adapter) {
                    // The next announcement adds the model again if the upstream still has it.
                    u->models.erase(model);
                } else if (model != u->models.end()) {
                    model->second.adapters.erase(r.facts.needs.adapter);
                }
            }
        }
        count_outcome(guard, attempt_outcome::failed);
        return attempt_end::not_run;
    }
    const bool success = status / 100 == 2;
    const bool retryable_status = status == 503 || status == 429 || status == 408 || status == 421;
    if (e.facts().encoded || (success && !e.facts().signed_by_upstream) || retryable_status ||
        status / 100 == 1 || status / 100 == 3) {
        r.last_failure = "unusable answer, status " + std::to_string(status);
        count_outcome(guard, attempt_outcome::failed);
        return attempt_end::unknown;
    }
    if (status >= first_server_error) {
        r.last_failure = "answered " + std::to_string(status);
        count_outcome(guard, attempt_outcome::failed);
        const bool sent_to_successor = r.successor != nullptr && r.successor->sent_on != nullptr;
        if (!r.head_sent && (sent_to_successor || may_send_again(c, r))) {
            return attempt_end::unknown;
        }
    }
    if (r.head_sent && (!success || !is_stream(e))) {
        // The caller has the head of an event stream, which no other answer can continue.
        r.last_failure = "stream resumption failed, status " + std::to_string(status) +
                         (success ? ", not an event stream" : "");
        if (success) {
            count_outcome(guard, attempt_outcome::failed);
        }
        return attempt_end::unknown;
    }
    (void)to;
    return std::nullopt;
}

}  // namespace

demand_key demand_key_of(const core& c, const request_state& r) {
    return {r.service, r.facts.needs.model,
            dispatch::is_long(r.facts.needs, c.settings.choice.roles)};
}

duration time_left(const request_state& r, time_point now) {
    // The caller started its timer before the request arrived here.
    constexpr duration caller_clock_margin = std::chrono::milliseconds(20);
    return r.finish_by - now - (r.head_sent ? duration::zero() : caller_clock_margin);
}

bool may_send_again(core& c, const request_state& r) {
    return !c.ending && is_repeatable(r) && r.tried.size() < r.route.attempt_limit &&
           dispatch::may_retry(c.budgets[r.service], c.settings.budget, c.view.gateways,
                               runtime::boot_now());
}

asio::awaitable<connection_ptr> acquire_connection(core& c, const request_state& r,
                                                   dispatch::incarnation target,
                                                   std::string& failure) {
    const bool recent_only = !r.repeatable;
    if (connection_ptr kept =
            take_idle(c.pools[target.id], target.born_ms, recent_only, runtime::boot_now())) {
        co_return kept;
    }
    c.metrics.count("burdockdeck_upstream_connections_total");
    const settings::endpoint to =
        settings::parse_endpoint(target.address).value_or(settings::endpoint{});
    const duration timeout = std::min(connect_timeout, time_left(r, runtime::boot_now()));
    auto connected = co_await connect(c.traffic.context(), to, timeout);
    if (!succeeded(connected)) {
        failure = error(connected).message;
        co_return nullptr;
    }
    value(connected)->born_ms = target.born_ms;
    co_return value(connected);
}

outgoing_request make_outgoing(const core& c, const request_state& r, const std::string& id) {
    outgoing_request out;
    out.method = r.request.method;
    out.target = r.request.target;
    out.headers =
        headers_to_send(c, r, id, r.events.last_id ? r.events.last_id : r.facts.last_event_id);
    out.body = &r.request.body;
    out.request_id = r.facts.id;
    return out;
}

void record_send_to(core& c, request_state& r, const std::string& id) {
    dispatch::record_send(c.budgets[r.service], c.settings.budget, !r.tried.empty(),
                          runtime::boot_now());
    r.tried.push_back(id);
    r.last_send_at = runtime::boot_now();
    const auto found = c.view.upstreams.find(id);
    if (found != c.view.upstreams.end()) {
        dispatch::record_cached(found->second, r.facts.needs, r.kv_tokens);
    }
}

asio::awaitable<attempt_end> attempt(core& c, session& caller, request_state& r,
                                     dispatch::choice to, std::shared_ptr<successor> prepared) {
    const dispatch::incarnation target = dispatch::incarnation_of(*to.to);
    const std::string& id = target.id;
    r.backlog_ms = dispatch::backlog_ms(*to.to, runtime::boot_now());
    in_flight_guard guard(c, to, r);
    r.last_failure.clear();
    r.ending = {};
    r.attempt_began_at = {};
    r.attempt_progress_at = {};
    r.sent_to_born_ms = prepared != nullptr ? prepared->target.born_ms : target.born_ms;
    r.sent_to_software =
        prepared != nullptr ? prepared->target.software_version : target.software_version;
    r.sent_at = runtime::boot_now();
    std::shared_ptr<exchange> e;
    if (prepared != nullptr) {
        e = prepared->sent_on;
    } else {
        std::string failure;
        connection_ptr connection = co_await acquire_connection(c, r, target, failure);
        if (connection == nullptr) {
            r.last_failure = "connect: " + failure;
            count_outcome(guard, attempt_outcome::unreachable);
            log_failed_attempt(r, id, "not_sent");
            co_return attempt_end::not_run;
        }
        caller.check_caller();
        if (caller.caller_left()) {
            c.metrics.count("burdockdeck_requests_withheld_total");
            return_unused(c.pools[id], connection);
            co_return attempt_end::finished;
        }
        if (c.ending) {
            r.last_failure = "this gateway is shutting down";
            co_return attempt_end::not_run;
        }
        if (const std::string notice = notice_against(c, id); !notice.empty()) {
            // It arrived while the request waited for the connection.
            return_unused(c.pools[id], connection);
            r.last_failure = notice;
            log_failed_attempt(r, id, "not_sent");
            co_return attempt_end::not_run;
        }
        if (judge_request(c, r, runtime::boot_now()).quarantined) {
            return_unused(c.pools[id], connection);
            co_return attempt_end::not_run;
        }
        const dispatch::upstream* current = guard.find();
        if (current == nullptr || !dispatch::is_incarnation(*current, target) ||
            !may_stream_from(c, r, target.software_version)) {
            // The upstream has started again, or control's list of versions has changed.
            return_unused(c.pools[id], connection);
            r.last_failure = "the upstream or its software has changed";
            log_failed_attempt(r, id, "not_sent");
            co_return attempt_end::not_run;
        }
        record_send_to(c, r, id);
        e = std::make_shared<exchange>(connection, c.protocol, notice_observer(c, target));
    }
    r.expected_ms = to.expected_ms;
    r.read_tokens = to.read_tokens;
    r.engine_was_idle = r.backlog_ms < idle_backlog_ms;
    r.current = e;
    r.current_upstream = id;
    r.awaits_upstream = true;
    const time_point sent_at = prepared != nullptr ? prepared->sent_at : runtime::boot_now();
    r.sent_at = sent_at;
    r.last_progress_at = sent_at;
    send_status sent = send_status::not_sent;
    if (prepared != nullptr) {
        sent = co_await await_answer(prepared);
    } else {
        const outgoing_request out = make_outgoing(c, r, id);
        const duration timeout = time_left(r, sent_at);
        sent = co_await e->send(out, timeout);
    }
    if (sent != send_status::answered) {
        r.last_failure = e->failure();
        record_ending(
            r,
            e->ended_by() == end_cause::timeout ? cut_cause::deadline : cut_cause::upstream_closed,
            e->failure(), runtime::boot_now());
        e->abort();
        if (!caller.caller_left()) {
            const dispatch::upstream* u = guard.find();
            // If the deadline passed while the engine's load reports still arrive, the engine is
            // overloaded, which is not counted as a failure of that engine.
            const bool overloaded = u != nullptr && !r.facts.needs.model.empty() &&
                                    !dispatch::load_is_stale(*u, runtime::boot_now()) &&
                                    time_left(r, runtime::boot_now()) <= duration::zero();
            if (!overloaded && !is_ended_by_quarantine(c, r, *e)) {
                count_outcome(guard, attempt_outcome::silent);
            }
            log_failed_attempt(r, id, name_in(send_status_names, sent));
            record_broken_attempt(c, r, id, e->ended_by());
        }
        co_return attempt_end::unknown;
    }
    if (const auto classified = classify_head(c, r, *e, to, guard)) {
        log_failed_attempt(r, id, std::to_string(e->status()));
        // A short refusal is read to its end, so that the connection can be reused.
        std::string ignored;
        const bool small = e->content_length().value_or(max_buffered_answer_bytes) < 4096;
        if (small && *classified == attempt_end::not_run) {
            const duration discard_timeout = std::chrono::milliseconds(50);
            while (co_await e->read(ignored, discard_timeout) == body_status::more) {
            }
        }
        if (connection_ptr reusable = e->take_reusable(default_keep_alive)) {
            keep(c.pools[id], reusable, runtime::boot_now());
        } else {
            e->abort();
        }
        co_return *classified;
    }
    attempt_end end = attempt_end::finished;
    r.last_progress_at = runtime::boot_now();
    withdraw_successor(r);
    if (is_stream(*e)) {
        end = co_await forward_stream(c, caller, r, e, guard, sent_at, to.expected_ms);
    } else {
        const double took_ms = 1000 * to_seconds(runtime::boot_now() - sent_at);
        if (e->status() < first_server_error) {
            count_outcome(guard, attempt_outcome::served,
                          to.expected_ms > 0 ? took_ms / (to.expected_ms + 50) : 0);
        }
        end = co_await forward_buffered(c, caller, r, e, guard);
        if (end == attempt_end::finished && e->status() / 100 == 2 && !e->ends_with_connection()) {
            record_complete_answer(c, r, id, runtime::boot_now());
        }
    }
    if (end != attempt_end::finished && !caller.caller_left()) {
        log_failed_attempt(r, id, "broken");
        // An engine that crashes with unread requests resets its connections.
        const bool reset = e->ended_by() == end_cause::upstream_reset;
        record_broken_attempt(c, r, id, reset ? end_cause::upstream_closed : e->ended_by());
    }
    if (connection_ptr reusable = e->take_reusable(default_keep_alive)) {
        keep(c.pools[id], reusable, runtime::boot_now());
    }
    co_return end;
}

}  // namespace burdockdeck::gateway
