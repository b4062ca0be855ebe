// Derives the planner's view from announcements, and demand from the gateways' reports.
#include "service_fleets.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "dispatch/roles.h"

namespace burdockdeck::control {

namespace {

// Reports older than this are ignored.
constexpr duration report_max_age = std::chrono::seconds(3);
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

// Memory for weights at one engine. The rest is reserved: adapters may fill it at any time.
double weights_capacity_of(const deployment::engine_spec& spec) {
    double largest = 0;
    for (const deployment::model_spec& m : spec.models) {
        largest = std::max(largest, m.adapters > 0 ? m.adapter_mb : 0);
    }
    return spec.weights_mb - largest * spec.max_adapters;
}

placement::engine_state engine_of(const registry::upstream_entry& e, double weights_capacity_mb,
                                  bool announcing) {
    const schema::upstream_announcement& a = e.latest;
    placement::engine_state out;
    out.id = a.id();
    out.address = a.address();
    out.born_ms = a.born_ms();
    out.failure_domain = a.failure_domain();
    out.accepting = announcing && a.state() == schema::announced_ready;
    out.weights_capacity_mb = weights_capacity_mb;
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

using copy_counts = std::unordered_map<std::string_view, std::size_t>;

// Copies of each model at engines that accept requests.
copy_counts loaded_copies(const placement::fleet_state& f) {
    copy_counts counts;
    for (const placement::engine_state& e : f.engines) {
        for (const std::string& model : e.models) {
            counts[model] += e.accepting ? 1 : 0;
        }
    }
    return counts;
}

// Engines that hold each model. For an engine that holds none, as after a loss of power, the copies
// in its host's memory and on its disk count instead: they show which models were in demand.
copy_counts known_copies(const placement::fleet_state& f) {
    copy_counts counts;
    for (const placement::engine_state& e : f.engines) {
        for (const std::string& model : e.models.empty() ? e.local_weights : e.models) {
            ++counts[model];
        }
    }
    return counts;
}

std::size_t count_of(const copy_counts& counts, const std::string& model) {
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

// Until demand has been reported for some time, the number of copies is the best estimate of it.
bool lacks_reports(const site_state& site, time_point now) {
    return site.demand_since == time_point{} || now - site.demand_since < prior_duration;
}

placement::model_demand demand_for(const site_state& site, const std::string& model,
                                   bool long_prompts) {
    placement::model_demand d;
    const demand_key key{model, long_prompts};
    const auto found = site.smoothed_demand.find(key);
    const bool known = found != site.smoothed_demand.end();
    d.engines = known && found->second >= min_demand ? found->second : 0;
    d.unplaced = site.unplaced.contains(key);
    // Long prompts are expected for every model, short ones only for models that have received
    // short ones before.
    d.expected = long_prompts || known;
    return d;
}

void add_demand(const site_state& site, const deployment::engine_spec& spec, service_fleets& f,
                time_point now) {
    const copy_counts short_prompt_loaded = loaded_copies(f.short_prompt_fleet);
    const copy_counts long_prompt_loaded = loaded_copies(f.long_prompt_fleet);
    const bool estimated = lacks_reports(site, now);
    const copy_counts short_prompt_copies =
        estimated ? known_copies(f.short_prompt_fleet) : copy_counts{};
    const copy_counts long_prompt_copies =
        estimated ? known_copies(f.long_prompt_fleet) : copy_counts{};
    const auto raise_to_estimate = [](placement::model_demand& d, std::size_t copies) {
        d.engines = std::max(d.engines, prior_per_copy * static_cast<double>(copies));
    };
    for (const deployment::model_spec& m : spec.models) {
        placement::model_demand short_prompt_demand = demand_for(site, m.name, false);
        placement::model_demand long_prompt_demand = demand_for(site, m.name, true);
        raise_to_estimate(short_prompt_demand, count_of(short_prompt_copies, m.name));
        raise_to_estimate(long_prompt_demand, count_of(long_prompt_copies, m.name));
        placement::model_demand& both = f.all.demand[m.name];
        both.engines = short_prompt_demand.engines + long_prompt_demand.engines;
        both.unplaced = short_prompt_demand.unplaced || long_prompt_demand.unplaced;
        short_prompt_demand.held_elsewhere = count_of(long_prompt_loaded, m.name) > 0;
        long_prompt_demand.held_elsewhere = count_of(short_prompt_loaded, m.name) > 0;
        f.short_prompt_fleet.demand[m.name] = short_prompt_demand;
        f.long_prompt_fleet.demand[m.name] = long_prompt_demand;
    }
}

}  // namespace

service_fleets fleets_of(const site_state& site, const deployment::service_spec& service,
                         duration max_silence, time_point now) {
    service_fleets f;
    const double weights_capacity_mb = weights_capacity_of(service.engine);
    std::vector<dispatch::engine_location> locations;
    for (const auto& [key, e] : site.upstreams.upstreams) {
        if (e.active && key.service == service.name && e.latest.state() != schema::announced_gone) {
            f.all.engines.push_back(
                engine_of(e, weights_capacity_mb, now - e.last_seen < max_silence));
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
    const request_costs& short_costs = site.short_prompt_costs;
    const request_costs& long_costs = site.long_prompt_costs;
    limit_capacities(
        site, f.all,
        {short_costs.engine_ms + long_costs.engine_ms, short_costs.requests + long_costs.requests});
    limit_capacities(site, f.short_prompt_fleet, short_costs);
    limit_capacities(site, f.long_prompt_fleet, long_costs);
    for (const deployment::model_spec& m : service.engine.models) {
        for (placement::fleet_state* fleet :
             {&f.all, &f.short_prompt_fleet, &f.long_prompt_fleet}) {
            fleet->models[m.name] = {m.weights_mb, m.store_load, m.disk_load, m.memory_load};
        }
    }
    add_demand(site, service.engine, f, now);
    return f;
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

}  // namespace burdockdeck::control
