// The leader's planner: chooses loads and unloads with libs/placement, and sends them as orders to
// sidecars.
#include <algorithm>
#include <cmath>

#include "placement/moves.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/task_times.h"
#include "service_fleets.h"
#include "site.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration plan_interval = std::chrono::milliseconds(250);
// Time between the notice of an unload to gateways and the order to the sidecar.
constexpr duration unload_notice = std::chrono::milliseconds(400);
// Time for which updates to gateways contain the notice.
constexpr duration unload_notice_lifetime = std::chrono::seconds(6);
// Allows for a new leader that connects to all sidecars at once on a small share of a core.
constexpr duration sidecar_connect_timeout = std::chrono::milliseconds(800);
constexpr duration order_timeout = std::chrono::milliseconds(1500);
// An engine that has not announced itself for this many intervals counts as not accepting
// requests.
constexpr int max_missed_announcements = 4;

placement::move_settings settings_for(const instance& i, const deployment::engine_spec& spec) {
    placement::move_settings s;
    set_store_rate(s, spec.store_loads_per_s, i.settings.site->store_window);
    return s;
}

std::string sidecar_address(const instance& i, const std::string& engine_address) {
    const auto at = settings::parse_endpoint(engine_address).value_or(settings::endpoint{});
    return to_text(settings::endpoint{at.ip, i.settings.site->sidecar_port});
}

// Gives gateways notice of an unload, so that they stop sending requests to this copy and its queue
// is empty when it is unloaded.
boost::asio::awaitable<void> announce_unload(instance& i, std::string engine, std::string model) {
    i.site->pending_unloads[{engine, model}] = runtime::boot_now() + unload_notice_lifetime;
    for (auto& [w, watch] : i.site->watchers) {
        watch.placement_sent = false;
    }
    update_site_watchers(i);
    co_await runtime::sleep_for(unload_notice);
}

boost::asio::awaitable<void> send_order(instance& i, placement::move m,
                                        placement::engine_state engine) {
    if (m.kind == placement::move_kind::unload) {
        const std::string id = engine.id;
        co_await announce_unload(i, id, m.model);
    } else {
        i.site->pending_unloads.erase({engine.id, m.model});
    }
    const std::string address = sidecar_address(i, engine.address);
    auto& stub = i.site->sidecars[address];
    if (stub == nullptr) {
        stub = rpc::sidecar::NewStub(
            runtime::open_channel(address, i.access, sidecar_connect_timeout));
    }
    const std::shared_ptr<rpc::sidecar::Stub> to = stub;
    const auto start = [&to](auto... arguments) { to->async()->order_model(arguments...); };
    rpc::order_model_request request;
    request.set_term(i.raft->node()->term);
    request.set_upstream(engine.id);
    request.set_born_ms(engine.born_ms);
    request.set_kind(m.kind == placement::move_kind::load ? rpc::order_load : rpc::order_unload);
    request.set_model(m.model);
    request.mutable_assumed_models()->Assign(engine.models.begin(), engine.models.end());
    auto answer = co_await runtime::call_unary<rpc::order_model_reply>(
        i.loop.context(), i.access, std::move(request), order_timeout, start);
    if (!succeeded(answer)) {
        // The order may have been carried out. A later order based on stale models is refused by
        // the sidecar.
        i.site->sidecars.erase(address);
        placement::record_unanswered_order(i.site->moves, {}, engine.id, runtime::boot_now());
        log_event(severity::warning, event::order_failed,
                  {{"upstream", engine.id}, {"model", m.model}, {"reason", error(answer).message}});
        co_return;
    }
    using reply = rpc::order_model_reply;
    const auto status = value(answer).status();
    if (status == reply::busy || status == reply::refused) {
        placement::record_refused_order(i.site->moves, engine.id, runtime::boot_now());
        log_event(severity::info, event::order_failed,
                  {{"upstream", engine.id},
                   {"model", m.model},
                   {"status", static_cast<int>(status)},
                   {"reason", value(answer).message()}});
    }
}

void start_moves(instance& i, const placement::fleet_state& f, const placement::move_settings& s,
                 time_point now) {
    for (const placement::move& m : placement::next_moves(f, i.site->moves, s, now)) {
        const auto e =
            std::find_if(f.engines.begin(), f.engines.end(),
                         [&](const placement::engine_state& x) { return x.id == m.engine; });
        placement::record_order(i.site->moves, m, now);
        log_event(severity::info, event::order_planned,
                  {{"upstream", m.engine},
                   {"kind", m.kind == placement::move_kind::load ? "load" : "unload"},
                   {"model", m.model},
                   {"from_store", m.from_store ? "yes" : "no"},
                   {"reason", m.reason}});
        runtime::spawn(i.loop, [&i, m, engine = *e] { return send_order(i, m, engine); });
    }
}

// Informs gateways of the loads of models that no engine holds: at once if requests were refused
// for one of them, with the next update otherwise.
void announce_expected_models(instance& i, std::map<std::string, time_point> expected) {
    const auto is_requested = [&](const std::string& model) {
        return i.site->unplaced.contains({model, false}) ||
               i.site->unplaced.contains({model, true});
    };
    const bool urgent = std::any_of(expected.begin(), expected.end(), [&](const auto& item) {
        return !i.site->expected_models.contains(item.first) && is_requested(item.first);
    });
    i.site->expected_models = std::move(expected);
    if (urgent) {
        for (auto& [w, watch] : i.site->watchers) {
            watch.placement_sent = false;
        }
        update_site_watchers(i);
    }
}

// Plans for one service, and returns when its models without a copy are expected to be loaded.
std::map<std::string, time_point> plan_service(instance& i, const deployment::service_spec& service,
                                               time_point now) {
    const runtime::timed_task timed("planning");
    const duration max_silence = i.settings.site->announce_interval * max_missed_announcements;
    const service_fleets f = fleets_of(*i.site, service, max_silence, now);
    const placement::move_settings s = settings_for(i, service.engine);
    placement::reconcile_orders(i.site->moves, f.all, s, now);
    if (f.divided) {
        start_moves(i, f.short_prompt_fleet, s, now);
        start_moves(i, f.long_prompt_fleet, s, now);
    } else {
        start_moves(i, f.all, s, now);
    }
    return placement::expected_first_copies(f.all, i.site->moves, now);
}

boost::asio::awaitable<void> run_planner(instance& i) {
    std::uint64_t planned_term = 0;
    time_point last_round = runtime::boot_now();
    while (!i.stopping) {
        co_await runtime::sleep_for(plan_interval);
        const time_point now = runtime::boot_now();
        // After a stall another leader may have been elected. Skipping the round lets the consensus
        // node process waiting messages first.
        const bool stalled = now - last_round > 4 * plan_interval;
        last_round = now;
        refresh_deployment(i, now);
        if (!i.raft->is_leader() || stalled) {
            continue;
        }
        std::erase_if(i.site->pending_unloads, [now](const auto& p) { return p.second < now; });
        update_demand(*i.site, now);
        std::map<std::string, time_point> expected;
        for (const deployment::service_spec& service : i.site->current.services) {
            if (service.engine.slots == 0) {
                continue;
            }
            if (planned_term != i.raft->node()->term) {
                placement::begin_planning(i.site->moves, settings_for(i, service.engine), now);
                i.site->smoothed_demand.clear();
                planned_term = i.raft->node()->term;
            }
            expected.merge(plan_service(i, service, now));
        }
        announce_expected_models(i, std::move(expected));
    }
}

}  // namespace

void start_planning(instance& i) {
    runtime::spawn(i.loop, [&i] { return run_planner(i); });
}

}  // namespace burdockdeck::control
