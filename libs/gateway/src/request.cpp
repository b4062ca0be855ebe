// Routes a request and makes attempts until one succeeds or no further attempt is allowed.
#include "request.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "adapter_load.h"
#include "dispatch/absence.h"
#include "dispatch/admission.h"
#include "drain.h"
#include "load_questions.h"
#include "quarantine.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "send_permits.h"
#include "stream_origin.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;
constexpr unsigned bad_gateway = 502;
constexpr unsigned gateway_timeout = 504;
// No upstream could take the request: announcements and load reports arrive within this time.
constexpr duration retry_after_no_upstream = std::chrono::milliseconds(300);
// This gateway is draining: another one can take the request immediately.
constexpr duration retry_after_draining = std::chrono::milliseconds(20);
// Share of the remaining time that a request may wait for an upstream; beyond it, an answer before
// the deadline is unlikely.
constexpr double wait_fraction = 0.6;
constexpr duration recheck_interval = std::chrono::milliseconds(200);
// With a majority alive, control elects a new leader within about two election timeouts.
constexpr duration retry_after_election = std::chrono::milliseconds(1200);
// A gateway that has just started receives the deployment within this time if control is reachable.
constexpr duration first_deployment_timeout = std::chrono::milliseconds(900);

// When the load of the request's model is expected to end, for logs.
std::string load_expected(const core& c, const request_state& r, time_point now) {
    const auto found = c.view.expected_models.find(r.facts.needs.model);
    return found == c.view.expected_models.end()
               ? "none"
               : std::to_string(to_milliseconds(found->second - now));
}

bool has_deployment(const core& c) {
    return c.view.current.version != 0;
}

// Sets the route, service, limits and deadline of a request; false if no route matches.
bool route_request(core& c, request_state& r) {
    const std::string_view host = find_header(r.request.headers, "Host");
    const deployment::route* route = deployment::match(c.view.current, host, r.request.path());
    if (route == nullptr) {
        return false;
    }
    r.route = *route;
    r.version = c.view.current.version;
    r.service = deployment::service_of(*route, draw_for(c, r));
    if (const auto* service = deployment::find_service(c.view.current, r.service)) {
        r.max_connections = service->max_connections;
        r.kv_tokens = service->engine.kv_tokens;
        r.max_adapters = service->engine.max_adapters;
    }
    const bool streaming = route->kind == deployment::repeatability::streaming;
    r.repeatable =
        route->kind == deployment::repeatability::idempotent || (streaming && route->resumable);
    const duration caller_timeout = r.facts.deadline.value_or(route->timeout);
    r.finish_by = r.request.arrived + std::min(route->timeout, caller_timeout);
    return true;
}

// Waits until the view changes or `longest` has passed.
asio::awaitable<void> wait_for_view_change(core& c, duration longest) {
    asio::steady_timer timer(c.traffic.context(), longest);
    const auto place = c.waiting_timers.insert(c.waiting_timers.end(), &timer);
    (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    c.waiting_timers.erase(place);
}

// Checks with control whether the deployment in force is the newest. Returns after the answer, a
// newer deployment or a time-out.
asio::awaitable<void> await_confirmation(core& c) {
    if (!c.confirmation_pending && c.request_confirmation) {
        c.confirmation_pending = true;
        c.request_confirmation();
    }
    while (c.confirmation_pending) {
        co_await wait_for_view_change(c, recheck_interval);
    }
}

// Routes the request. If no route matches, checks with control for a newer deployment and routes
// again. False if the request was refused.
asio::awaitable<bool> route_or_refuse(core& c, session& caller, request_state& r) {
    if (route_request(c, r)) {
        co_return true;
    }
    if (!has_newest_deployment(c.view, runtime::boot_now())) {
        co_await await_confirmation(c);
        if (route_request(c, r)) {
            co_return true;
        }
    }
    const bool is_newest = has_newest_deployment(c.view, runtime::boot_now());
    std::string reason =
        is_newest
            ? "no route matches"
            : "no route matches, and control has not confirmed that this deployment is the newest";
    co_await refuse(c, caller, r, is_newest ? not_found : unavailable, std::move(reason),
                    is_newest ? duration::zero() : retry_after_election);
    co_return false;
}

// Before the first attempt, refuses the request if no upstream can process its prompt in time. True
// if it was refused.
asio::awaitable<bool> refuse_if_too_late(core& c, session& caller, request_state& r) {
    co_await ask_for_loads(c, r);
    const time_point now = runtime::boot_now();
    const std::vector<dispatch::upstream*> all = upstreams_of(c.view, r.service);
    const duration first_event_timeout =
        std::min(r.route.caller_silence_timeout, time_left(r, now));
    const auto retry_after =
        dispatch::rejection_retry_after(all, make_request_view(c, r), first_event_timeout,
                                        c.settings.choice, c.settings.admission, now);
    if (!retry_after) {
        co_return false;
    }
    std::string reason = "no upstream can process the prompt in time";
    co_await refuse(c, caller, r, unavailable, std::move(reason), *retry_after);
    co_return true;
}

// True if the request was refused, since it is not known at which version its stream began.
asio::awaitable<bool> refuse_if_origin_unknown(core& c, session& caller, request_state& r) {
    if (!is_taken_up(r) || co_await bind_to_origin(c, r)) {
        co_return false;
    }
    if (!caller.caller_left()) {
        c.metrics.count("burdockdeck_streams_of_unknown_origin_total");
        std::string reason = "it is not known at which software version the stream began";
        co_await refuse(c, caller, r, unavailable, std::move(reason), retry_after_no_upstream);
    }
    co_return true;
}

// The time after which the caller may come back, if the upstreams that could serve the request all
// ask for a pause; empty otherwise. The upstreams that it was sent to count as well, since the next
// request may go to them.
std::optional<duration> pause_of_service(core& c, const request_state& r, time_point now) {
    dispatch::request_view v = make_request_view(c, r);
    v.tried = nullptr;
    return dispatch::time_until_resumption(upstreams_of(c.view, r.service), v, now);
}

// Whether a request whose model no upstream holds waits for the load.
dispatch::absence_decision decide_absence(core& c, const request_state& r,
                                          const std::vector<dispatch::upstream*>& all,
                                          time_point now) {
    const std::string& name = r.facts.needs.model;
    dispatch::model_return expected;
    const auto announced = c.view.expected_models.find(name);
    if (announced != c.view.expected_models.end()) {
        expected.expected_at = announced->second;
    }
    const deployment::service_spec* service = deployment::find_service(c.view.current, r.service);
    const deployment::model_spec* model =
        service == nullptr ? nullptr : deployment::find_model(service->engine, name);
    if (model != nullptr) {
        expected.load_estimate = dispatch::estimate_load(all, name, model->memory_load,
                                                         model->disk_load, model->store_load);
    }
    const duration patience =
        r.route.caller_silence_timeout > duration::zero()
            ? std::min(r.route.caller_silence_timeout - (now - r.request.arrived),
                       time_left(r, now))
            : time_left(r, now);
    return dispatch::decide_absence(expected, patience, now - r.request.arrived, now);
}

// The time after which callers are told to come back, lengthened at random so that those of one
// model do not return all at once.
duration spread_retry_after(core& c, duration wait) {
    constexpr double max_lengthening = 0.3;
    std::uniform_real_distribution<double> draw(1.0, 1.0 + max_lengthening);
    return std::chrono::duration_cast<duration>(wait * draw(c.rng));
}

// True if an upstream of one of these software versions accepts requests.
bool has_software(const std::vector<dispatch::upstream*>& all,
                  const dispatch::software_set& versions) {
    return std::any_of(all.begin(), all.end(), [&](const dispatch::upstream* u) {
        return u->accepting && !u->leaving && versions.contains(u->software_version);
    });
}

// The upstream for the next attempt. While none can take the request, waits for up to
// `wait_fraction` of the remaining time, but only if the request has not been sent before. A
// request whose model is absent waits only for a load that is under way.
asio::awaitable<std::optional<dispatch::choice>> next_upstream(core& c, session& caller,
                                                               request_state& r) {
    const time_point began = runtime::boot_now();
    const duration max_wait =
        std::chrono::duration_cast<duration>(time_left(r, began) * wait_fraction);
    bool demand_counted = false;
    while (!caller.caller_left()) {
        co_await ask_for_loads(c, r);
        const time_point now = runtime::boot_now();
        const std::vector<dispatch::upstream*> all = upstreams_of(c.view, r.service);
        const dispatch::request_view v = make_request_view(c, r);
        if (const auto chosen = dispatch::choose(all, v, c.settings.choice, now, c.rng)) {
            co_return chosen;
        }
        if (!demand_counted) {
            demand_counted = true;
            ++c.demand[demand_key_of(c, r)].unplaced;
        }
        const bool absent = r.tried.empty() && dispatch::is_model_absent(all, v, now);
        if (absent) {
            c.demand_report_due = true;
            const dispatch::absence_decision decided = decide_absence(c, r, all, now);
            if (!decided.hold) {
                r.last_failure = "no upstream holds the model";
                r.model_return_in = spread_retry_after(c, decided.retry_after);
                break;
            }
        }
        if (!r.origin.empty() && !has_software(all, r.origin)) {
            r.last_failure = "no upstream of the stream's software version is left";
            break;
        }
        const bool paused = pause_of_service(c, r, now).has_value();
        if (paused && r.last_failure.empty()) {
            r.last_failure = "all upstreams are paused or at their rate limit";
        }
        if ((!absent && now - began >= max_wait) || c.draining || !r.tried.empty() || paused) {
            break;
        }
        co_await wait_for_view_change(c, recheck_interval);
    }
    co_return std::nullopt;
}

// How long a request may wait for its turn at the chosen upstream. While others could take it, it
// goes to them instead.
duration max_permit_wait(core& c, const request_state& r, const dispatch::upstream& chosen,
                         time_point now) {
    constexpr double permit_wait_fraction = 0.25;
    const dispatch::request_view v = make_request_view(c, r);
    for (const dispatch::upstream* u : upstreams_of(c.view, r.service)) {
        if (u != &chosen && dispatch::obstacle_to(*u, v, now) == dispatch::obstacle::none) {
            return duration::zero();
        }
    }
    return std::chrono::duration_cast<duration>(time_left(r, now) * permit_wait_fraction);
}

// True if another attempt may follow one that ended as `end`. The limits on attempts and retries do
// not apply if that attempt ended before it sent the request: `sends_before` is the number of sends
// before that attempt.
bool may_try_again(core& c, const request_state& r, attempt_end end, std::size_t sends_before) {
    if (c.ending || (end == attempt_end::unknown && !is_repeatable(r))) {
        return false;
    }
    if (r.tried.size() == sends_before) {
        return true;
    }
    return r.tried.size() < r.route.attempt_limit &&
           dispatch::may_retry(c.budgets[r.service], c.settings.budget, c.view.gateways,
                               runtime::boot_now());
}

asio::awaitable<void> answer_failure(core& c, session& caller, request_state& r) {
    // 503 states that the request was not executed, so it must not follow an attempt with unknown
    // outcome.
    if (!r.may_have_run) {
        std::string reason = "no upstream accepted the request: " + r.last_failure;
        const duration retry_after =
            r.model_return_in > duration::zero()
                ? r.model_return_in
                : pause_of_service(c, r, runtime::boot_now()).value_or(retry_after_no_upstream);
        co_await refuse(c, caller, r, unavailable, std::move(reason), retry_after);
        co_return;
    }
    const bool late = time_left(r, runtime::boot_now()) <= duration::zero();
    std::string reason = "no complete answer from the upstream: " + r.last_failure;
    co_await refuse(c, caller, r, late ? gateway_timeout : bad_gateway, std::move(reason),
                    duration::zero());
}

// Refuses the request if its prompt has a part that crashes engines. True if it was refused.
asio::awaitable<bool> refuse_if_quarantined(core& c, session& caller, request_state& r) {
    const quarantine::verdict v = judge_request(c, r, runtime::boot_now());
    if (!v.quarantined) {
        co_return false;
    }
    c.metrics.count("burdockdeck_requests_quarantined_total");
    log_event(severity::info, event::request_quarantined,
              {{"request", r.facts.id},
               {"parts", to_text(v.parts)},
               {"crashes", v.crashes},
               {"remaining_ms", to_milliseconds(v.remaining)}});
    std::string reason = "a part of the prompt has crashed engines";
    if (r.may_have_run) {
        r.last_failure = reason;
        co_await answer_failure(c, caller, r);
    } else {
        co_await refuse(c, caller, r, unavailable, std::move(reason), v.remaining);
    }
    co_return true;
}

// Makes attempts one after the other. The number of attempts that fail before the request is sent
// is limited, since each takes time.
asio::awaitable<void> run_attempts(core& c, session& caller, request_state& r) {
    constexpr int max_unsent_attempts = 4;
    int unsent_attempts = 0;
    attempt_end last = attempt_end::not_run;
    while (!caller.caller_left()) {
        if (time_left(r, runtime::boot_now()) <= duration::zero()) {
            break;
        }
        if (co_await refuse_if_quarantined(c, caller, r)) {
            co_return;
        }
        const std::shared_ptr<successor> prepared = take_successor(r);
        const auto chosen = prepared != nullptr ? std::optional(prepared->chosen)
                                                : co_await next_upstream(c, caller, r);
        if (!chosen) {
            break;
        }
        if (prepared == nullptr && chosen->to->limit.per_second > 0) {
            const dispatch::incarnation target = dispatch::incarnation_of(*chosen->to);
            const duration max_wait = max_permit_wait(c, r, *chosen->to, runtime::boot_now());
            if (!co_await acquire_permit(c, target, max_wait)) {
                r.last_failure = "rate limit of the upstream " + target.id;
                continue;
            }
        }
        if (prepared == nullptr && chosen->needs_adapter) {
            const dispatch::choice to = *chosen;
            caller.check_caller();
            if (caller.caller_left()) {
                co_return;
            }
            if (!co_await ensure_adapter(c, r, to)) {
                if (++unsent_attempts > max_unsent_attempts) {
                    break;
                }
                const duration pause = std::chrono::milliseconds(20);
                co_await wait_for_view_change(c, pause);
                continue;
            }
            if (!c.view.upstreams.contains(to.to->id)) {
                continue;
            }
        }
        if (caller.caller_left()) {
            co_return;
        }
        const std::size_t sends_before = r.tried.size() - (prepared != nullptr ? 1 : 0);
        const dispatch::choice to = *chosen;
        last = co_await attempt(c, caller, r, to, prepared);
        r.current.reset();
        r.may_have_run = r.may_have_run || last == attempt_end::unknown;
        if (last == attempt_end::finished) {
            co_return;
        }
        if (r.tried.size() == sends_before && ++unsent_attempts > max_unsent_attempts) {
            break;
        }
        const bool is_sent_on = r.successor != nullptr && r.successor->sent_on != nullptr;
        if (!is_sent_on && !may_try_again(c, r, last, sends_before)) {
            break;
        }
        c.metrics.count("burdockdeck_attempts_repeated_total");
    }
    if (caller.caller_left()) {
        co_return;
    }
    co_await answer_failure(c, caller, r);
}

void count_demand(core& c, const request_state& r) {
    if (!r.facts.needs.model.empty()) {
        record_prompt(c.view, r.service, r.facts.needs.prompt_tokens, c.settings.choice.roles);
    }
    model_counts& counts = c.demand[demand_key_of(c, r)];
    ++counts.arrivals;
    counts.prompt_tokens += r.facts.needs.prompt_tokens;
    counts.output_tokens += r.facts.needs.output_tokens;
}

}  // namespace

dispatch::request_view make_request_view(const core& c, const request_state& r) {
    dispatch::request_view v;
    v.needs = &r.facts.needs;
    v.service = r.service;
    v.failure_domain = c.settings.failure_domain;
    v.tried = &r.tried;
    if (is_bound_to_version(r)) {
        v.software = r.origin.empty() ? &recorded_versions(c.view, r.service) : &r.origin;
    }
    v.unloading = &c.view.pending_unloads;
    v.tokens_per_ms =
        dispatch::speed_of(c.speeds, r.facts.needs.model, c.settings.choice.read_tokens_per_ms);
    return v;
}

bool may_stream_from(const core& c, const request_state& r, const std::string& software_version) {
    const dispatch::software_set* allowed = make_request_view(c, r).software;
    return allowed == nullptr || allowed->contains(software_version);
}

asio::awaitable<void> refuse(core& c, session& caller, request_state& r, unsigned status,
                             std::string reason, duration retry_after) {
    c.metrics.count("burdockdeck_requests_refused_total", "status=" + std::to_string(status));
    log_event(
        severity::info, event::request_refused,
        {{"request", r.facts.id},
         {"route", r.route.name},
         {"status", static_cast<std::uint64_t>(status)},
         {"reason", reason},
         {"sends", static_cast<std::uint64_t>(r.tried.size())},
         {"last_failure", r.last_failure},
         {"begun", r.head_sent ? "yes" : "no"},
         {"model", r.facts.needs.model},
         {"load_expected_ms", load_expected(c, r, runtime::boot_now())},
         {"version", c.view.current.version},
         {"version_routed", r.version},
         {"since_stop_ms", since_stop(c, runtime::boot_now())},
         {"upstreams", count_obstacles(c, r, runtime::boot_now())},
         {"version_confirmed_ms_ago", to_milliseconds(runtime::boot_now() - c.view.confirmed_at)},
         {"age_ms", to_milliseconds(runtime::boot_now() - r.request.arrived)},
         {"come_back_ms", to_milliseconds(retry_after)}});
    if (r.head_sent) {
        caller.close_now();
        co_return;
    }
    caller_answer answer;
    answer.status = status;
    answer.body = reason + "\n";
    answer.headers.emplace_back("Content-Type", "text/plain");
    if (retry_after > duration::zero()) {
        c.protocol.write_retry_after(answer.headers, retry_after);
    }
    (void)co_await caller.respond(std::move(answer));
}

asio::awaitable<void> serve(core& c, session& caller, caller_request request) {
    auto r = std::make_shared<request_state>();
    r->caller = caller.weak_from_this();
    r->request = std::move(request);
    r->facts = c.protocol.read_request(r->request.headers);
    while (!has_deployment(c) && !caller.caller_left() &&
           runtime::boot_now() - r->request.arrived < first_deployment_timeout) {
        co_await wait_for_view_change(c, recheck_interval);
    }
    if (!has_deployment(c)) {
        std::string reason = "this gateway has not received a deployment yet";
        co_await refuse(c, caller, *r, unavailable, std::move(reason), retry_after_no_upstream);
        co_return;
    }
    if (!co_await route_or_refuse(c, caller, *r)) {
        co_return;
    }
    const duration since_stop = r->request.arrived - c.draining_since;
    if (c.draining && may_outlast_drain(since_stop, c.settings.grace, r->facts.needs.output_tokens,
                                        r->finish_by - r->request.arrived)) {
        // The request has not been sent to any upstream, so another gateway can take it.
        std::string reason = "this gateway is shutting down";
        co_await refuse(c, caller, *r, unavailable, std::move(reason), retry_after_draining);
        co_return;
    }
    count_demand(c, *r);
    c.open_requests.push_back(r);
    caller.on_caller_left([r] {
        record_ending(*r, cut_cause::caller_left,
                      r->current ? "unacknowledged bytes: " + r->current->unacknowledged() : "",
                      runtime::boot_now());
        close_successor(*r);
        if (r->current) {
            r->current->abort();
        }
    });
    if (!co_await refuse_if_origin_unknown(c, caller, *r) &&
        !co_await refuse_if_too_late(c, caller, *r)) {
        co_await run_attempts(c, caller, *r);
    }
    close_successor(*r);
    if (!caller.answered()) {
        log_answer_cut(c, *r, r->cut.value_or(r->ending), caller.failure(), runtime::boot_now());
    }
    const duration took = runtime::boot_now() - r->request.arrived;
    c.metrics.observe(
        "burdockdeck_request_seconds", took,
        "route_kind=" + std::string(name_in(deployment::repeatability_names, r->route.kind)));
    const bool failed = !r->last_failure.empty() || caller.caller_left();
    log_event(failed ? severity::warning : severity::info, event::request_ended,
              {{"request", r->facts.id},
               {"route", r->route.name},
               {"service", r->service},
               {"version", r->version},
               {"upstream", r->tried.empty() ? "" : r->tried.back()},
               {"sends", static_cast<std::uint64_t>(r->tried.size())},
               {"took_ms", to_milliseconds(took)},
               {"last_send_age_ms", last_send_age(*r)},
               {"first_event_ms", to_milliseconds(r->time_to_first_event)},
               {"longest_gap_ms", to_milliseconds(r->longest_gap)},
               {"prompt_tokens", r->facts.needs.prompt_tokens},
               {"read_tokens", r->read_tokens},
               {"expected_ms", r->expected_ms},
               {"backlog_ms", r->backlog_ms},
               {"model", r->facts.needs.model},
               {"adapter", r->facts.needs.adapter},
               {"caller_left", caller.caller_left() ? "yes" : "no"}});
}

}  // namespace burdockdeck::gateway
