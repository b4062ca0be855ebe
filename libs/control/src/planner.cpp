// The leader's planner: demand from the gateways' reports, moves by placement, orders by sidecars.
#include <algorithm>
#include <cmath>

#include "dispatch/roles.h"
#include "placement/moves.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "site.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

constexpr duration plan_interval = std::chrono::milliseconds(250);
// From the notice to gateways until the order; and how long they keep to the notice.
constexpr duration parting_notice = std::chrono::milliseconds(400);
constexpr duration parting_time = std::chrono::seconds(6);
// A new leader opens connections to all sidecars at once, on a small share of a core.
constexpr duration sidecar_connect_patience = std::chrono::milliseconds(800);
constexpr duration order_timeout = std::chrono::milliseconds(1500);
// A gateway silent for this long has no demand that anyone knows of.
constexpr duration report_patience = std::chrono::seconds(3);
// An engine silent for this many announcement intervals is not planned for.
constexpr int missed_announcements = 4;
// Demand rises with this share of each report, and falls more slowly.
constexpr double rise = 0.35;
constexpr double fall = 0.06;
// Prompt tokens that an engine reads in a millisecond while a model's speed is not known.
constexpr double usual_tokens_per_ms = 38;
// Part of a prompt that is not kept yet, and prompt tokens that cost as much as one output token.
constexpr double unkept_share = 0.5;
constexpr double output_weight = 4;
// Until demand has been seen for this long, each copy found stands for some.
constexpr duration prior_time = std::chrono::seconds(4);
constexpr double prior_per_copy = 0.18;
// Demand below this share of an engine is none.
constexpr double least_demand = 0.003;

std::uint64_t version_in_force(const instance& i) {
    return i.raft->state().deployment().version();
}

void refresh_deployment(instance& i) {
    if (i.site->current.version == version_in_force(i)) {
        return;
    }
    auto decoded = i.site->protocol.decode_deployment(i.raft->state().deployment().source());
    if (succeeded(decoded)) {
        i.site->current = std::move(value(decoded));
    } else {
        log_event(severity::error, event::deployment_refused,
                  {{"version", version_in_force(i)}, {"reason", error(decoded).message}});
    }
}

// Room for weights at one engine: adapters may take the rest at any time.
double room_for_weights(const deployment::engine_spec& spec) {
    double largest = 0;
    for (const deployment::model_spec& m : spec.models) {
        largest = std::max(largest, m.adapters > 0 ? m.adapter_mb : 0);
    }
    return spec.weights_mb - largest * spec.max_adapters;
}

placement::engine_state engine_of(const registry::upstream_entry& e,
                                  const deployment::engine_spec& spec, bool heard) {
    const schema::upstream_announcement& a = e.latest;
    placement::engine_state out;
    out.id = a.id();
    out.address = a.address();
    out.born_ms = a.born_ms();
    out.failure_domain = a.failure_domain();
    out.accepting = heard && a.state() == schema::announced_ready;
    out.room_mb = room_for_weights(spec);
    for (const schema::present_model& m : a.models()) {
        out.models.insert(m.name());
    }
    out.copies.insert(a.in_memory().begin(), a.in_memory().end());
    out.copies.insert(a.on_disk().begin(), a.on_disk().end());
    return out;
}

void update_demand(site_state& site, time_point now) {
    std::map<demand_key, double> offered;
    std::set<demand_key> unplaced;
    for (const auto& [gateway, record] : site.demand) {
        if (now - record.received_at > report_patience) {
            continue;
        }
        const double window = std::max<double>(1, record.latest.window_ms());
        for (const rpc::model_load& load : record.latest.models()) {
            const demand_key kind{load.model(), load.long_prompts()};
            if (load.tokens_per_ms() > 0) {
                double& known = site.speeds[load.model()];
                known = std::max(known, load.tokens_per_ms());
            }
            const auto learnt = site.speeds.find(load.model());
            const double speed = learnt == site.speeds.end() ? usual_tokens_per_ms : learnt->second;
            const double ms = (unkept_share * static_cast<double>(load.prompt_tokens()) +
                               output_weight * static_cast<double>(load.output_tokens())) /
                              speed;
            offered[kind] += ms / window;
            if (load.unplaced() > 0) {
                unplaced.insert(kind);
            }
        }
    }
    if (!offered.empty() && site.demand_since == time_point{}) {
        site.demand_since = now;
    }
    for (const auto& [kind, share] : offered) {
        // The first report stands for itself.
        site.smoothed_demand.try_emplace(kind, share);
    }
    for (auto& [kind, share] : site.smoothed_demand) {
        const auto found = offered.find(kind);
        const double fresh = found == offered.end() ? 0 : found->second;
        share += (fresh > share ? rise : fall) * (fresh - share);
    }
    site.unplaced = std::move(unplaced);
}

// The engines of one service; divided ones are two fleets.
struct fleets {
    placement::fleet_state all;
    placement::fleet_state for_short;
    placement::fleet_state for_long;
    bool divided = false;
};

bool held_in(const placement::fleet_state& f, const std::string& model) {
    return std::any_of(f.engines.begin(), f.engines.end(),
                       [&](const auto& e) { return e.accepting && e.models.contains(model); });
}

// Engines that hold the model. One that holds nothing, as after a loss of power, stands for what
// its host's disk holds: that tells what was in demand.
std::size_t copies_in(const placement::fleet_state& f, const std::string& model) {
    return static_cast<std::size_t>(std::count_if(
        f.engines.begin(), f.engines.end(),
        [&](const auto& e) { return (e.models.empty() ? e.copies : e.models).contains(model); }));
}

placement::model_demand demand_for(const instance& i, const placement::fleet_state& f,
                                   const std::string& model, bool long_prompts, time_point now) {
    placement::model_demand d;
    const demand_key kind{model, long_prompts};
    const auto found = i.site->smoothed_demand.find(kind);
    const bool known = found != i.site->smoothed_demand.end();
    d.engines = known && found->second >= least_demand ? found->second : 0;
    if (i.site->demand_since == time_point{} || now - i.site->demand_since < prior_time) {
        // Nobody has asked for anything yet: who placed the copies had a reason for their number.
        d.engines = std::max(d.engines, prior_per_copy * static_cast<double>(copies_in(f, model)));
    }
    d.unplaced = i.site->unplaced.contains(kind);
    // Every model may be asked for with a long prompt; with a short one, those that ever were.
    d.expected = long_prompts || known;
    return d;
}

void add_demand(const instance& i, fleets& f, const std::string& model, time_point now) {
    placement::model_demand brief = demand_for(i, f.for_short, model, false, now);
    placement::model_demand lengthy = demand_for(i, f.for_long, model, true, now);
    placement::model_demand& both = f.all.demand[model];
    both.engines = brief.engines + lengthy.engines;
    both.unplaced = brief.unplaced || lengthy.unplaced;
    brief.elsewhere = held_in(f.for_long, model);
    lengthy.elsewhere = held_in(f.for_short, model);
    f.for_short.demand[model] = brief;
    f.for_long.demand[model] = lengthy;
}

fleets fleets_of(const instance& i, const deployment::service_spec& service, time_point now) {
    fleets f;
    const duration silence = i.settings.site->announce_interval * missed_announcements;
    std::vector<dispatch::engine_place> places;
    for (const auto& [id, e] : i.site->upstreams.upstreams) {
        if (e.latest.service() == service.name && e.latest.state() != schema::announced_gone) {
            f.all.engines.push_back(engine_of(e, service.engine, now - e.heard < silence));
            if (e.latest.state() == schema::announced_ready) {
                places.push_back({e.latest.address(), e.latest.failure_domain()});
            }
        }
    }
    const std::set<std::string> chosen = dispatch::short_prompt_engines(places, {});
    f.divided = !chosen.empty();
    for (const placement::engine_state& e : f.all.engines) {
        (chosen.contains(e.address) ? f.for_short : f.for_long).engines.push_back(e);
    }
    for (const deployment::model_spec& m : service.engine.models) {
        for (placement::fleet_state* fleet : {&f.all, &f.for_short, &f.for_long}) {
            fleet->models[m.name] = {m.weights_mb};
        }
        add_demand(i, f, m.name, now);
    }
    return f;
}

placement::move_settings settings_for(const instance& i, const deployment::engine_spec& spec) {
    placement::move_settings s;
    const double window_s = to_seconds(i.settings.site->store_window);
    s.store_window = i.settings.site->store_window;
    s.store_per_window =
        static_cast<std::uint32_t>(std::max(1.0, std::floor(spec.store_loads_per_s * window_s)));
    s.store_at_once =
        static_cast<std::uint32_t>(std::max(1.0, std::ceil(spec.store_loads_per_s * 3)));
    return s;
}

std::string sidecar_address(const instance& i, const std::string& engine_address) {
    const auto at = settings::parse_endpoint(engine_address).value_or(settings::endpoint{});
    return to_text(settings::endpoint{at.ip, i.settings.site->sidecar_port});
}

// Gateways leave a copy alone before it is unloaded, so that nothing waits there any more.
boost::asio::awaitable<void> part_from(instance& i, std::string engine, std::string model) {
    i.site->pending_unloads[{engine, model}] = runtime::boot_now() + parting_time;
    for (auto& [w, watch] : i.site->watchers) {
        watch.unloads_sent = false;
    }
    update_site_watchers(i);
    co_await runtime::sleep_for(parting_notice);
}

boost::asio::awaitable<void> give_order(instance& i, placement::move m,
                                        placement::engine_state engine) {
    if (m.kind == placement::move_kind::unload) {
        const std::string id = engine.id;
        co_await part_from(i, id, m.model);
    } else {
        i.site->pending_unloads.erase({engine.id, m.model});
    }
    const std::string address = sidecar_address(i, engine.address);
    auto& stub = i.site->sidecars[address];
    if (stub == nullptr) {
        stub = rpc::sidecar::NewStub(
            runtime::open_channel(address, i.access, sidecar_connect_patience));
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
        // It may have been carried out; the sidecar refuses what no longer fits.
        i.site->sidecars.erase(address);
        placement::note_unanswered(i.site->moves, {}, engine.id, runtime::boot_now());
        log_event(severity::warning, event::order_failed,
                  {{"upstream", engine.id}, {"model", m.model}, {"reason", error(answer).message}});
        co_return;
    }
    using reply = rpc::order_model_reply;
    const auto status = value(answer).status();
    if (status == reply::busy || status == reply::refused) {
        placement::note_refused(i.site->moves, engine.id, runtime::boot_now());
        log_event(severity::info, event::order_failed,
                  {{"upstream", engine.id},
                   {"model", m.model},
                   {"status", static_cast<int>(status)},
                   {"reason", value(answer).message()}});
    }
}

void order_moves(instance& i, const placement::fleet_state& f, const placement::move_settings& s,
                 time_point now) {
    for (const placement::move& m : placement::next_moves(f, i.site->moves, s, now)) {
        const auto e =
            std::find_if(f.engines.begin(), f.engines.end(),
                         [&](const placement::engine_state& x) { return x.id == m.engine; });
        placement::note_ordered(i.site->moves, m, now);
        log_event(severity::info, event::order_planned,
                  {{"upstream", m.engine},
                   {"kind", m.kind == placement::move_kind::load ? "load" : "unload"},
                   {"model", m.model},
                   {"from_store", m.from_store ? "yes" : "no"},
                   {"reason", m.reason}});
        runtime::spawn(i.loop, [&i, m, engine = *e] { return give_order(i, m, engine); });
    }
}

void plan_service(instance& i, const deployment::service_spec& service, time_point now) {
    const fleets f = fleets_of(i, service, now);
    const placement::move_settings s = settings_for(i, service.engine);
    placement::settle(i.site->moves, f.all, s, now);
    if (!f.divided) {
        order_moves(i, f.all, s, now);
        return;
    }
    order_moves(i, f.for_short, s, now);
    order_moves(i, f.for_long, s, now);
}

boost::asio::awaitable<void> keep_planning(instance& i) {
    std::uint64_t planned_term = 0;
    time_point last_round = runtime::boot_now();
    while (!i.stopping) {
        co_await runtime::sleep_for(plan_interval);
        const time_point now = runtime::boot_now();
        // A leader that was held up must first hear that it still leads.
        const bool held_up = now - last_round > 4 * plan_interval;
        last_round = now;
        if (!i.raft->is_leader() || held_up) {
            continue;
        }
        refresh_deployment(i);
        std::erase_if(i.site->pending_unloads, [now](const auto& p) { return p.second < now; });
        update_demand(*i.site, now);
        for (const deployment::service_spec& service : i.site->current.services) {
            if (service.engine.slots == 0) {
                continue;
            }
            if (planned_term != i.raft->node()->term) {
                placement::begin_planning(i.site->moves, settings_for(i, service.engine), now);
                i.site->smoothed_demand.clear();
                planned_term = i.raft->node()->term;
            }
            plan_service(i, service, now);
        }
    }
}

}  // namespace

void start_planning(instance& i) {
    runtime::spawn(i.loop, [&i] { return keep_planning(i); });
}

}  // namespace burdockdeck::control
