// Routes a request and goes from attempt to attempt.
#include "request.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "dispatch/admission.h"
#include "drain.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

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
// When no upstream could take the request: the time until the next announcement or load.
constexpr duration come_back_soon = std::chrono::milliseconds(300);
// Another gateway can take the request now.
constexpr duration come_back_at_once = std::chrono::milliseconds(20);
// A request waits for a place only while an answer in time is still likely.
constexpr double waiting_share = 0.6;
constexpr duration wait_step = std::chrono::milliseconds(200);
// A sidecar that does not answer is not asked again for this long.
constexpr duration blocked_unreachable = std::chrono::milliseconds(800);
// Control has a leader again after about two election timeouts, if a majority is there.
constexpr duration come_back_after_election = std::chrono::milliseconds(1200);
// A gateway that has just started learns the deployment within this time, if control is there.
constexpr duration first_deployment_patience = std::chrono::milliseconds(900);
constexpr duration ensure_timeout = std::chrono::milliseconds(400);
// The caller's clock started before the request arrived here.
constexpr duration answer_margin = std::chrono::milliseconds(20);

bool serves_deployment(const core& c) {
    return c.view.current.version != 0;
}

// Route, service, limits and times of a request; false if no route matches.
bool route_request(core& c, request_state& r) {
    const std::string_view host = header_in(r.request.headers, "Host");
    const deployment::route* route = deployment::match(c.view.current, host, r.request.path());
    if (route == nullptr) {
        return false;
    }
    r.route = *route;
    std::uniform_real_distribution<double> draw(0, 1);
    r.service = deployment::service_of(*route, draw(c.rng));
    if (const auto* service = deployment::find_service(c.view.current, r.service)) {
        r.max_connections = service->max_connections;
        r.kv_tokens = service->engine.kv_tokens;
        r.max_adapters = service->engine.max_adapters;
    }
    const bool streaming = route->kind == deployment::repeatability::streaming;
    r.repeatable =
        route->kind == deployment::repeatability::idempotent || (streaming && route->resumable);
    const duration patience = r.facts.deadline.value_or(route->timeout);
    r.give_up = r.request.arrived + std::min(route->timeout, patience) - answer_margin;
    return true;
}

dispatch::request_view view_of(const core& c, const request_state& r) {
    dispatch::request_view v;
    v.needs = &r.facts.needs;
    v.service = r.service;
    v.failure_domain = c.settings.failure_domain;
    v.tried = &r.tried;
    v.unloading = &c.view.parting;
    v.tokens_per_ms =
        dispatch::speed_of(c.speeds, r.facts.needs.model, c.settings.choice.read_tokens_per_ms);
    return v;
}

// Waits until the view changes, for `longest` at the most.
asio::awaitable<void> wait_for_change(core& c, duration longest) {
    asio::steady_timer timer(c.traffic.context(), longest);
    const auto place = c.waiting.insert(c.waiting.end(), &timer);
    (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    c.waiting.erase(place);
}

// Waits until control said whether the deployment in force is the newest, or a newer one came.
asio::awaitable<void> ask_newest(core& c) {
    if (!c.asking_newest && c.ask_newest) {
        c.asking_newest = true;
        c.ask_newest();
    }
    while (c.asking_newest) {
        co_await wait_for_change(c, wait_step);
    }
}

// Routes the request, by a newer deployment if the one in force has no route for it; false if it
// was refused.
asio::awaitable<bool> route_or_refuse(core& c, session& caller, request_state& r) {
    if (route_request(c, r)) {
        co_return true;
    }
    if (!knows_newest(c.view, runtime::boot_now())) {
        co_await ask_newest(c);
        if (route_request(c, r)) {
            co_return true;
        }
    }
    const bool certain = knows_newest(c.view, runtime::boot_now());
    std::string reason =
        certain ? "no route matches" : "no route matches, but a newer deployment may have one";
    co_await refuse(c, caller, r, certain ? not_found : unavailable, std::move(reason),
                    certain ? duration::zero() : come_back_after_election);
    co_return false;
}

// Refuses a request that has not been sent yet and would begin too late everywhere.
asio::awaitable<bool> refuse_if_too_late(core& c, session& caller, request_state& r) {
    const time_point now = runtime::boot_now();
    const std::vector<dispatch::upstream*> all = upstreams_of(c.view, r.service);
    const duration patience = std::min(r.route.caller_silence_timeout, time_left(r, now));
    const auto away = dispatch::rejection_retry_after(all, view_of(c, r), patience,
                                                      c.settings.choice, c.settings.admission, now);
    if (!away) {
        co_return false;
    }
    std::string reason = "its prompt would be read too late";
    co_await refuse(c, caller, r, unavailable, std::move(reason), *away);
    co_return true;
}

// The upstream for the next attempt. Waits while none can take the request, as long as an answer in
// time is likely.
asio::awaitable<std::optional<dispatch::choice>> next_upstream(core& c, session& caller,
                                                               request_state& r) {
    const time_point began = runtime::boot_now();
    const duration patience =
        std::chrono::duration_cast<duration>(time_left(r, began) * waiting_share);
    bool counted = false;
    while (!caller.caller_left()) {
        const time_point now = runtime::boot_now();
        const std::vector<dispatch::upstream*> all = upstreams_of(c.view, r.service);
        const dispatch::request_view v = view_of(c, r);
        if (const auto chosen = dispatch::choose(all, v, c.settings.choice, now, c.rng)) {
            co_return chosen;
        }
        if (!counted) {
            counted = true;
            ++c.demand[key_of(c, r)].unplaced;
        }
        if (now - began >= patience || c.draining || !r.tried.empty()) {
            break;
        }
        co_await wait_for_change(c, wait_step);
    }
    co_return std::nullopt;
}

std::shared_ptr<rpc::sidecar::Stub> sidecar_at(core& c, const std::string& upstream_address) {
    const auto at = settings::parse_endpoint(upstream_address).value_or(settings::endpoint{});
    const std::string address =
        settings::to_text(settings::endpoint{at.ip, c.settings.sidecar_port});
    auto& stub = c.sidecars[address];
    if (stub == nullptr) {
        stub = rpc::sidecar::NewStub(runtime::open_channel(address, c.access));
    }
    return stub;
}

// An upstream that cannot load the adapter now is left to requests that need none.
void note_blocked(core& c, const std::string& id, const request_state& r,
                  const rpc::ensure_adapter_reply* reply) {
    const auto found = c.view.upstreams.find(id);
    if (found == c.view.upstreams.end()) {
        return;
    }
    const duration blocked =
        reply == nullptr ? blocked_unreachable : std::chrono::milliseconds(reply->blocked_ms());
    found->second.adapters_blocked_until = runtime::boot_now() + blocked;
    if (reply != nullptr && !reply->model_present()) {
        found->second.models.erase(r.facts.needs.model);
    }
}

// Has the adapter loaded at the chosen upstream. False if it cannot be there in time.
asio::awaitable<bool> ensure_adapter(core& c, request_state& r, dispatch::choice to) {
    const std::string id = to.to->id;
    const std::string address = to.to->address;
    const std::shared_ptr<rpc::sidecar::Stub> stub = sidecar_at(c, address);
    const auto start = [&stub](auto... arguments) { stub->async()->ensure_adapter(arguments...); };
    rpc::ensure_adapter_request ask;
    ask.set_upstream(id);
    ask.set_model(r.facts.needs.model);
    ask.set_adapter(r.facts.needs.adapter);
    ask.set_max_adapters(r.max_adapters);
    ask.set_timeout_ms(static_cast<std::uint32_t>(to_milliseconds(ensure_timeout)));
    auto answer = co_await runtime::call_unary<rpc::ensure_adapter_reply>(
        c.traffic.context(), c.access, std::move(ask), ensure_timeout, start);
    const bool present = succeeded(answer) && value(answer).present();
    if (!present) {
        r.last_failure = succeeded(answer) ? value(answer).message() : error(answer).message;
        log_event(severity::info, event::adapter_refused,
                  {{"request", r.facts.id},
                   {"upstream", id},
                   {"model", r.facts.needs.model},
                   {"adapter", r.facts.needs.adapter},
                   {"reason", r.last_failure}});
        note_blocked(c, id, r, succeeded(answer) ? &value(answer) : nullptr);
        if (!succeeded(answer)) {
            c.sidecars.erase(settings::to_text(settings::endpoint{
                settings::parse_endpoint(address).value_or(settings::endpoint{}).ip,
                c.settings.sidecar_port}));
        }
        co_return false;
    }
    const auto found = c.view.upstreams.find(id);
    if (found != c.view.upstreams.end()) {
        const auto model = found->second.models.find(r.facts.needs.model);
        if (model != found->second.models.end()) {
            model->second.adapters[r.facts.needs.adapter] =
                runtime::boot_now() + std::chrono::milliseconds(value(answer).lease_ms());
        }
    }
    co_return true;
}

// True if another attempt may follow one that ended as `end`.
bool may_go_on(core& c, const request_state& r, attempt_end end, std::size_t sends_before) {
    if (end == attempt_end::unknown && !r.repeatable) {
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
    // An attempt that may have run forbids the promise that nothing ran.
    if (!r.may_have_run) {
        std::string reason = "no upstream could take it: " + r.last_failure;
        co_await refuse(c, caller, r, unavailable, std::move(reason), come_back_soon);
        co_return;
    }
    const bool late = time_left(r, runtime::boot_now()) <= duration::zero();
    std::string reason = "the upstream's answer did not arrive: " + r.last_failure;
    co_await refuse(c, caller, r, late ? gateway_timeout : bad_gateway, std::move(reason),
                    duration::zero());
}

// Attempts in turn. Connection failures are bounded, since each costs time.
asio::awaitable<void> go_on_until_answered(core& c, session& caller, request_state& r) {
    constexpr int max_unsent = 4;
    int unsent = 0;
    attempt_end last = attempt_end::not_run;
    while (!caller.caller_left()) {
        if (time_left(r, runtime::boot_now()) <= duration::zero()) {
            break;
        }
        const auto chosen = co_await next_upstream(c, caller, r);
        if (!chosen) {
            break;
        }
        if (chosen->needs_adapter) {
            const dispatch::choice to = *chosen;
            if (!co_await ensure_adapter(c, r, to)) {
                if (++unsent > max_unsent) {
                    break;
                }
                const duration pause = std::chrono::milliseconds(20);
                co_await wait_for_change(c, pause);
                continue;
            }
            if (!c.view.upstreams.contains(to.to->id)) {
                continue;
            }
        }
        if (caller.caller_left()) {
            co_return;
        }
        const std::size_t sends_before = r.tried.size();
        const dispatch::choice to = *chosen;
        last = co_await attempt(c, caller, r, to);
        r.current.reset();
        r.may_have_run = r.may_have_run || last == attempt_end::unknown;
        if (last == attempt_end::finished) {
            co_return;
        }
        if (r.tried.size() == sends_before && ++unsent > max_unsent) {
            break;
        }
        if (!may_go_on(c, r, last, sends_before)) {
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
    model_counts& counts = c.demand[key_of(c, r)];
    ++counts.arrivals;
    counts.prompt_tokens += r.facts.needs.prompt_tokens;
    counts.output_tokens += r.facts.needs.output_tokens;
}

}  // namespace

void end_silent_attempts(core& c, time_point now) {
    c.in_hand.remove_if([](const std::weak_ptr<request_state>& r) { return r.expired(); });
    for (const std::weak_ptr<request_state>& weak : c.in_hand) {
        const std::shared_ptr<request_state> r = weak.lock();
        if (r && waits_in_vain(c, *r, now)) {
            r->current->abort();
        }
    }
}

asio::awaitable<void> serve(core& c, session& caller, caller_request request) {
    auto r = std::make_shared<request_state>();
    r->request = std::move(request);
    r->facts = c.protocol.read_request(r->request.headers);
    while (!serves_deployment(c) && !caller.caller_left() &&
           runtime::boot_now() - r->request.arrived < first_deployment_patience) {
        co_await wait_for_change(c, wait_step);
    }
    if (!serves_deployment(c)) {
        std::string reason = "no deployment is known here yet";
        co_await refuse(c, caller, *r, unavailable, std::move(reason), come_back_soon);
        co_return;
    }
    if (!co_await route_or_refuse(c, caller, *r)) {
        co_return;
    }
    const duration since_stop = r->request.arrived - c.draining_since;
    if (c.draining && outlasts_drain(since_stop, c.settings.grace, r->facts.needs.output_tokens)) {
        // Nothing has been sent, so another gateway can take it.
        std::string reason = "this gateway stops";
        co_await refuse(c, caller, *r, unavailable, std::move(reason), come_back_at_once);
        co_return;
    }
    count_demand(c, *r);
    c.in_hand.push_back(r);
    caller.on_caller_left([r] {
        if (r->current) {
            r->current->abort();
        }
    });
    if (!co_await refuse_if_too_late(c, caller, *r)) {
        co_await go_on_until_answered(c, caller, *r);
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
               {"version", c.view.current.version},
               {"upstream", r->tried.empty() ? "" : r->tried.back()},
               {"sends", static_cast<std::uint64_t>(r->tried.size())},
               {"took_ms", to_milliseconds(took)},
               {"first_event_ms", to_milliseconds(r->first_event)},
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
