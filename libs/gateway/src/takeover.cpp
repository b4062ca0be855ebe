// Make before break: the silent upstream is left once its successor answers.
#include "takeover.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core.h"
#include "dispatch/takeover.h"
#include "quarantine.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "send_permits.h"
#include "upstream_notices.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using dispatch::takeover_step;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// Minimum time without data from the upstream before an idempotent call is sent to another
// upstream.
constexpr duration min_call_silence = std::chrono::milliseconds(450);
// Minimum time without data from the upstream before a stream is resumed at another upstream.
constexpr duration min_stream_silence = std::chrono::milliseconds(1100);

dispatch::silent_attempt describe(const core& c, const request_state& r, time_point now) {
    dispatch::silent_attempt a;
    a.last_progress_at = r.last_progress_at;
    if (r.facts.needs.model.empty()) {
        a.min_silence = std::max(min_call_silence, 3 * r.route.latency_objective);
        return a;
    }
    a.queued = r.last_event_at == time_point{};
    a.min_silence =
        a.queued ? min_call_silence : std::max(min_stream_silence, 4 * r.route.max_event_gap);
    a.caller_silence_timeout = r.route.caller_silence_timeout;
    const auto found = c.view.upstreams.find(r.current_upstream);
    a.reports_load =
        found != c.view.upstreams.end() && !dispatch::load_is_stale(found->second, now);
    return a;
}

duration expected_time(const dispatch::choice& chosen) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(std::max(0.0, chosen.expected_ms)));
}

// True if the upstream is silent beyond its limit and the request may be sent to `next` as well.
bool may_prepare(core& c, const request_state& r, const dispatch::choice& next, time_point now) {
    const duration needed = expected_time(next);
    return r.current != nullptr && r.awaits_upstream && may_send_again(c, r) &&
           !judge_request(c, r, now).quarantined && notice_against(c, next.to->id).empty() &&
           may_stream_from(c, r, next.to->software_version) && time_left(r, now) > needed &&
           dispatch::next_step(describe(c, r, now), needed, now) == takeover_step::prepare &&
           // A process that was suspended has yet to read what arrived meanwhile.
           !r.current->has_unread_bytes();
}

// True if the caller has not closed its connection. Otherwise the attempts of `r` have been ended.
bool caller_waits(const request_state& r) {
    const std::shared_ptr<session> caller = r.caller.lock();
    if (caller == nullptr) {
        return false;
    }
    caller->check_caller();
    return !caller->caller_left();
}

// The upstream for a takeover: one that can serve the request at once.
std::optional<dispatch::choice> choose_successor(core& c, const request_state& r, time_point now) {
    const dispatch::request_view v = make_request_view(c, r);
    const auto chosen =
        dispatch::choose(upstreams_of(c.view, r.service), v, c.settings.choice, now, c.rng);
    if (!chosen || chosen->needs_adapter ||
        dispatch::obstacle_to(*chosen->to, v, now) != dispatch::obstacle::none) {
        return std::nullopt;
    }
    return chosen;
}

bool is_usable(send_status status, const exchange& e) {
    return status == send_status::answered && e.status() / 100 == 2 && !e.facts().not_run &&
           !e.facts().encoded && e.facts().signed_by_upstream;
}

void record_failure(core& c, const request_state& r, const successor& s,
                    dispatch::attempt_outcome outcome, std::string_view status,
                    std::string_view reason) {
    const time_point now = runtime::boot_now();
    const auto found = c.view.upstreams.find(s.target.id);
    if (found != c.view.upstreams.end()) {
        dispatch::record_outcome(found->second, outcome, 0, now);
    }
    log_event(severity::info, event::attempt_failed,
              {{"request", r.facts.id},
               {"upstream", s.target.id},
               {"sends", static_cast<std::uint64_t>(r.tried.size())},
               {"status", status},
               {"reason", reason},
               {"takeover_from", r.current_upstream},
               {"silence_ms", to_milliseconds(now - r.last_progress_at)},
               {"left_ms", to_milliseconds(time_left(r, now))}});
}

void leave_silent_upstream(request_state& r, successor& s, time_point now) {
    record_ending(r, cut_cause::silence_limit, "", now);
    s.in_charge = true;
    r.current->abort();
}

// Carries out what the decision says once the successor answers.
void advance(core& c, request_state& r, successor& s) {
    if (s.in_charge || r.current == nullptr) {
        return;
    }
    const time_point now = runtime::boot_now();
    const takeover_step step = dispatch::next_step(describe(c, r, now), {s.sent_at, true});
    if (step == takeover_step::withdraw || r.current->has_unread_bytes()) {
        withdraw_successor(r);
    } else if (step == takeover_step::switch_over) {
        leave_silent_upstream(r, s, now);
    }
}

// Connects to the successor, sends it the request and waits for the head of its answer. `s` is
// withdrawn or taken if it is no longer the successor of `r`.
asio::awaitable<void> run_successor(core& c, std::shared_ptr<request_state> r,
                                    std::shared_ptr<successor> s) {
    if (!co_await acquire_permit(c, s->target, duration::zero())) {
        if (r->successor == s) {
            r->successor.reset();
        }
        co_return;
    }
    std::string failure;
    connection_ptr connection = co_await acquire_connection(c, *r, s->target, failure);
    if (connection == nullptr) {
        record_failure(c, *r, *s, dispatch::attempt_outcome::unreachable, "not_sent",
                       "connect: " + failure);
    }
    const bool is_wanted = caller_waits(*r) && r->successor == s;
    const auto upstream = c.view.upstreams.find(s->target.id);
    const bool is_same =
        upstream != c.view.upstreams.end() && dispatch::is_incarnation(upstream->second, s->target);
    if (!is_wanted || connection == nullptr || !is_same ||
        !may_prepare(c, *r, s->chosen, runtime::boot_now())) {
        if (connection != nullptr) {
            return_unused(c.pools[s->target.id], connection);
        }
        if (is_wanted) {
            r->successor.reset();
        }
        co_return;
    }
    s->sent_at = runtime::boot_now();
    s->sent_on = std::make_shared<exchange>(connection, c.protocol, notice_observer(c, s->target));
    connection.reset();
    record_send_to(c, *r, s->target.id);
    const outgoing_request out = make_outgoing(c, *r, s->target.id);
    const duration timeout = time_left(*r, s->sent_at);
    const send_status status = co_await s->sent_on->send(out, timeout);
    s->status = status;
    s->finished.cancel();
    if (r->successor != s || s->in_charge) {
        co_return;
    }
    if (is_usable(status, *s->sent_on)) {
        advance(c, *r, *s);
        co_return;
    }
    const bool answered = status == send_status::answered;
    record_failure(c, *r, *s,
                   answered ? dispatch::attempt_outcome::failed : dispatch::attempt_outcome::silent,
                   answered ? std::to_string(s->sent_on->status())
                            : std::string(name_in(send_status_names, status)),
                   s->sent_on->failure());
    if (!answered) {
        record_unanswered(c, *r, {s->target.id, s->target.born_ms}, duration::zero(),
                          s->sent_on->ended_by());
    }
    withdraw_successor(*r);
}

void replace_if_silent(core& c, const std::shared_ptr<request_state>& r, time_point now) {
    if (r->successor != nullptr || r->current == nullptr || !r->awaits_upstream ||
        now - r->last_progress_at <= describe(c, *r, now).min_silence || !may_send_again(c, *r)) {
        return;
    }
    const auto chosen = choose_successor(c, *r, now);
    if (!chosen || !may_prepare(c, *r, *chosen, now) || !caller_waits(*r)) {
        return;
    }
    const auto s = std::make_shared<successor>(c.traffic.context(), *chosen);
    r->successor = s;
    runtime::spawn(c.traffic, [&c, r, s] { return run_successor(c, r, s); });
}

}  // namespace

void replace_silent_attempts(core& c, time_point now) {
    c.open_requests.remove_if([](const std::weak_ptr<request_state>& r) { return r.expired(); });
    for (const std::weak_ptr<request_state>& weak_request : c.open_requests) {
        if (const std::shared_ptr<request_state> r = weak_request.lock()) {
            replace_if_silent(c, r, now);
        }
    }
}

void withdraw_successor(request_state& r) {
    if (r.successor != nullptr && !r.successor->in_charge) {
        close_successor(r);
    }
}

void close_successor(request_state& r) {
    if (r.successor != nullptr && r.successor->sent_on != nullptr) {
        r.successor->sent_on->abort();
    }
    r.successor.reset();
}

std::shared_ptr<successor> take_successor(request_state& r) {
    if (r.successor != nullptr && r.successor->sent_on == nullptr) {
        r.successor.reset();
    }
    return std::move(r.successor);
}

asio::awaitable<send_status> await_answer(std::shared_ptr<successor> s) {
    while (!s->status) {
        (void)co_await s->finished.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return *s->status;
}

}  // namespace burdockdeck::gateway
