// The leader's planner: derives demand from the gateways' reports, chooses loads and unloads
// with libs/placement, and sends them as orders to sidecars.
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
// Time between the notice of an unload to gateways and the order to the sidecar.
constexpr duration unload_notice = std::chrono::milliseconds(400);
// Time for which updates to gateways contain the notice.
constexpr duration unload_notice_lifetime = std::chrono::seconds(6);
// Allows for a new leader that connects to all sidecars at once on a small share of a core.
constexpr duration sidecar_connect_timeout = std::chrono::milliseconds(800);
constexpr duration order_timeout = std::chrono::milliseconds(1500);
// Reports older than this are ignored.
constexpr duration report_max_age = std::chrono::seconds(3);
// An engine that has not announced itself for this many intervals counts as not accepting
// requests.
constexpr int max_missed_announcements = 4;
// Weight of a new report in the smoothed demand: higher when demand rises than when it falls.
constexpr double rising_smoothing_weight = 0.35;
constexpr double falling_smoothing_weight = 0.06;
// Prompt tokens that an engine reads per millisecond, assumed until a model's speed is measured.
constexpr double default_tokens_per_ms = 38;
// Assumed share of prompt tokens that is not in an engine's cache.
constexpr double uncached_share = 0.5;
// Cost of one output token, in prompt tokens.
constexpr double output_token_cost = 4;
// Until demand has been reported for this long, each existing copy of a model counts as
// `prior_per_copy` engines of demand.
constexpr duration prior_duration = std::chrono::seconds(4);
constexpr double prior_per_copy = 0.18;
// Factor by which earlier requests count less in each round.
constexpr double request_cost_decay = 0.9;
// Processing time of a request before any has been reported.
constexpr double default_request_ms = 80;
// An engine that takes hardly any requests still holds models that others may lack.
constexpr double min_capacity = 0.02;
// Demand below this number of engines counts as zero.
constexpr double min_demand = 0.003;

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

// Memory for weights at one engine. The rest is reserved: adapters may fill it at any time.
double weights_capacity_of(const deployment::engine_spec& spec) {
    double largest = 0;
    for (const deployment::model_spec& m : spec.models) {
        largest = std::max(largest, m.adapters > 0 ? m.adapter_mb : 0);
    }
    return spec.weights_mb - largest * spec.max_adapters;
}

placement::engine_state engine_of(const registry::upstream_entry& e,
                                  const deployment::engine_spec& spec, bool announcing) {
    const schema::upstream_announcement& a = e.latest;
    placement::engine_state out;
    out.id = a.id();
    out.address = a.address();
    out.born_ms = a.born_ms();
    out.failure_domain = a.failure_domain();
    out.accepting = announcing && a.state() == schema::announced_ready;
    out.weights_capacity_mb = weights_capacity_of(spec);
    for (const schema::present_model& m : a.models()) {
        out.models.insert(m.name());
    }
    out.local_weights.insert(a.in_memory().begin(), a.in_memory().end());
    out.local_weights.insert(a.on_disk().begin(), a.on_disk().end());
    out.memory_weights.insert(a.in_memory().begin(), a.in_memory().end());
    return out;
}

void decay(request_costs& c) {
    c.engine_ms *= request_cost_decay;
    c.requests *= request_cost_decay;
}

// Share of an engine's usual rate of requests that an upstream takes, by the limit that it states.
double capacity_of(const site_state& site, const placement::engine_state& e,
                   const request_costs& costs) {
    const auto stated = site.permits.limits.find({e.id, e.born_ms});
    if (stated == site.permits.limits.end() || stated->second.per_second <= 0) {
        return 1;
    }
    const double request_ms =
        costs.requests > 0 ? costs.engine_ms / costs.requests : default_request_ms;
    return std::clamp(stated->second.per_second * request_ms / 1000, min_capacity, 1.0);
}

void limit_capacities(const site_state& site, placement::fleet_state& f,
                      const request_costs& costs) {
    for (placement::engine_state& e : f.engines) {
        e.capacity = capacity_of(site, e, costs);
    }
}

void update_demand(site_state& site, time_point now) {
    std::map<demand_key, double> offered;
    decay(site.short_prompt_costs);
    decay(site.long_prompt_costs);
    std::set<demand_key> unplaced;
    for (const auto& [gateway, record] : site.demand) {
        if (now - record.received_at > report_max_age) {
            continue;
        }
        const double window = std::max<double>(1, record.latest.window_ms());
        for (const rpc::model_load& load : record.latest.models()) {
            const demand_key key{load.model(), load.long_prompts()};
            if (load.tokens_per_ms() > 0) {
                double& known = site.speeds[load.model()];
                known = std::max(known, load.tokens_per_ms());
            }
            const auto measured = site.speeds.find(load.model());
            const double speed =
                measured == site.speeds.end() ? default_tokens_per_ms : measured->second;
            const double ms = (uncached_share * static_cast<double>(load.prompt_tokens()) +
                               output_token_cost * static_cast<double>(load.output_tokens())) /
                              speed;
            offered[key] += ms / window;
            request_costs& costs =
                load.long_prompts() ? site.long_prompt_costs : site.short_prompt_costs;
            costs.engine_ms += ms;
            costs.requests += load.arrivals();
            if (load.unplaced() > 0) {
                unplaced.insert(key);
            }
        }
    }
    if (!offered.empty() && site.demand_since == time_point{}) {
        site.demand_since = now;
    }
    for (const auto& [key, share] : offered) {
        // The first report is taken without smoothing.
        site.smoothed_demand.try_emplace(key, share);
    }
    for (auto& [key, share] : site.smoothed_demand) {
        const auto found = offered.find(key);
        const double reported = found == offered.end() ? 0 : found->second;
        share += (reported > share ? rising_smoothing_weight : falling_smoothing_weight) *
                 (reported - share);
    }
    site.unplaced = std::move(unplaced);
}

// The engines of one service. If `divided`, engines for short and for long prompts are planned as
// two separate fleets.
struct service_fleets {
    placement::fleet_state all;
    placement::fleet_state short_prompt_fleet;
    placement::fleet_state long_prompt_fleet;
    bool divided = false;
};

bool is_loaded_in(const placement::fleet_state& f, const std::string& model) {
    return std::any_of(f.engines.begin(), f.engines.end(),
                       [&](const auto& e) { return e.accepting && e.models.contains(model); });
}

// Number of engines that hold the model. For an engine that holds none, as after a loss of power,
// the copies in its host's memory and on its disk count instead: they show which models were in
// demand.
std::size_t count_copies(const placement::fleet_state& f, const std::string& model) {
    return static_cast<std::size_t>(
        std::count_if(f.engines.begin(), f.engines.end(), [&](const auto& e) {
            return (e.models.empty() ? e.local_weights : e.models).contains(model);
        }));
}

placement::model_demand demand_for(const instance& i, const placement::fleet_state& f,
                                   const std::string& model, bool long_prompts, time_point now) {
    placement::model_demand d;
    const demand_key key{model, long_prompts};
    const auto found = i.site->smoothed_demand.find(key);
    const bool known = found != i.site->smoothed_demand.end();
    d.engines = known && found->second >= min_demand ? found->second : 0;
    if (i.site->demand_since == time_point{} || now - i.site->demand_since < prior_duration) {
        // Without enough reports, the number of existing copies is the best estimate of demand.
        d.engines =
            std::max(d.engines, prior_per_copy * static_cast<double>(count_copies(f, model)));
    }
    d.unplaced = i.site->unplaced.contains(key);
    // Long prompts are expected for every model, short ones only for models that have received
    // short ones before.
    d.expected = long_prompts || known;
    return d;
}

void add_demand(const instance& i, service_fleets& f, const std::string& model, time_point now) {
    placement::model_demand short_prompt_demand =
        demand_for(i, f.short_prompt_fleet, model, false, now);
    placement::model_demand long_prompt_demand =
        demand_for(i, f.long_prompt_fleet, model, true, now);
    placement::model_demand& both = f.all.demand[model];
    both.engines = short_prompt_demand.engines + long_prompt_demand.engines;
    both.unplaced = short_prompt_demand.unplaced || long_prompt_demand.unplaced;
    short_prompt_demand.held_elsewhere = is_loaded_in(f.long_prompt_fleet, model);
    long_prompt_demand.held_elsewhere = is_loaded_in(f.short_prompt_fleet, model);
    f.short_prompt_fleet.demand[model] = short_prompt_demand;
    f.long_prompt_fleet.demand[model] = long_prompt_demand;
}

service_fleets fleets_of(const instance& i, const deployment::service_spec& service,
                         time_point now) {
    service_fleets f;
    const duration max_silence = i.settings.site->announce_interval * max_missed_announcements;
    std::vector<dispatch::engine_location> locations;
    for (const auto& [id, e] : i.site->upstreams.upstreams) {
        if (e.latest.service() == service.name && e.latest.state() != schema::announced_gone) {
            f.all.engines.push_back(engine_of(e, service.engine, now - e.last_seen < max_silence));
            if (e.latest.state() == schema::announced_ready) {
                locations.push_back({e.latest.address(), e.latest.failure_domain()});
            }
        }
    }
    const std::set<std::string> short_prompt_addresses =
        dispatch::short_prompt_engines(locations, {});
    f.divided = !short_prompt_addresses.empty();
    for (const placement::engine_state& e : f.all.engines) {
        (short_prompt_addresses.contains(e.address) ? f.short_prompt_fleet : f.long_prompt_fleet)
            .engines.push_back(e);
    }
    const request_costs& short_costs = i.site->short_prompt_costs;
    const request_costs& long_costs = i.site->long_prompt_costs;
    limit_capacities(
        *i.site, f.all,
        {short_costs.engine_ms + long_costs.engine_ms, short_costs.requests + long_costs.requests});
    limit_capacities(*i.site, f.short_prompt_fleet, short_costs);
    limit_capacities(*i.site, f.long_prompt_fleet, long_costs);
    for (const deployment::model_spec& m : service.engine.models) {
        for (placement::fleet_state* fleet :
             {&f.all, &f.short_prompt_fleet, &f.long_prompt_fleet}) {
            fleet->models[m.name] = {m.weights_mb, m.store_load, m.disk_load, m.memory_load};
        }
        add_demand(i, f, m.name, now);
    }
    return f;
}

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
    const service_fleets f = fleets_of(i, service, now);
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
        if (!i.raft->is_leader() || stalled) {
            continue;
        }
        refresh_deployment(i);
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
