// Builds the search state of the move planner and evaluates its objective.
#include "plan_state.h"

#include <algorithm>

namespace burdockdeck::placement {

namespace {

// Value of having at least one copy of a model without demand, in the unit of `cost_of`: a part
// that does not depend on how fast it would return, and one for each second of its return.
constexpr double idle_presence_value = 0.25;
constexpr double idle_presence_value_per_s = 0.07;
// The same for a model with demand.
constexpr double demanded_presence_value = 5.0;
// Above this utilization, requests queue at an engine whatever the load of the other engines.
constexpr double queueing_utilization = 0.5;
constexpr double queueing_weight = 3.0;
// Lower bound for divisions, as a share of an engine.
constexpr double min_capacity = 0.001;

}  // namespace

double size_of(const fleet_state& f, const std::string& model) {
    const auto found = f.models.find(model);
    return found == f.models.end() ? 0 : found->second.weights_mb;
}

model_demand demand_of(const fleet_state& f, const std::string& model) {
    const auto found = f.demand.find(model);
    return found == f.demand.end() ? model_demand{} : found->second;
}

double utilization_from(const plan_state& p, const std::string& model, double capacity) {
    return demand_of(p.f, model).engines / std::max(capacity, min_capacity);
}

double utilization_from(const plan_state& p, const std::string& model) {
    return copies_of(p, model) == 0 ? 0 : utilization_from(p, model, capacity_of(p, model));
}

double capacity_of(const plan_state& p, const std::string& model) {
    const auto found = p.capacity.find(model);
    return found == p.capacity.end() ? 0 : found->second;
}

double cost_of(double utilization) {
    const double over = std::max(0.0, utilization - queueing_utilization);
    return utilization * utilization + queueing_weight * over * over;
}

double presence_value(const plan_state& p, const std::string& model) {
    const model_demand d = demand_of(p.f, model);
    if (d.unplaced || d.engines > idle_demand) {
        // Serving all demand from one overloaded engine is better than serving none of it.
        return demanded_presence_value + 2 * cost_of(d.engines);
    }
    return d.expected && !d.held_elsewhere
               ? idle_presence_value + idle_presence_value_per_s * to_seconds(return_time(p, model))
               : 0;
}

duration load_time(const fleet_state& f, const engine_state& e, const std::string& model) {
    const auto found = f.models.find(model);
    const model_profile profile = found == f.models.end() ? model_profile{} : found->second;
    if (e.memory_weights.contains(model)) {
        return profile.memory_load;
    }
    return e.local_weights.contains(model) ? profile.disk_load : profile.store_load;
}

duration return_time(const plan_state& p, const std::string& model) {
    const auto local = p.local_return.find(model);
    if (local != p.local_return.end()) {
        return swap_overhead + local->second;
    }
    const auto found = p.f.models.find(model);
    return swap_overhead +
           (found == p.f.models.end() ? model_profile{}.store_load : found->second.store_load);
}

const std::vector<std::size_t>& holders_of(const plan_state& p, const std::string& model) {
    static const std::vector<std::size_t> none;
    const auto found = p.holders.find(model);
    return found == p.holders.end() ? none : found->second;
}

plan_state state_of(const fleet_state& f, const move_planner_state& m, const move_settings& s,
                    time_point now) {
    plan_state p{f, m, s, now, {}, {}, {}, {}, {}, {}, {}, 0, 0};
    for (std::size_t i = 0; i < f.engines.size(); ++i) {
        const engine_state& e = f.engines[i];
        std::set<std::string> held = e.models;
        const auto order = m.orders.find(e.id);
        const auto refused = m.refused_until.find(e.id);
        if (refused != m.refused_until.end() && refused->second > now) {
            p.unavailable.insert(i);
        }
        if (order != m.orders.end()) {
            p.unavailable.insert(i);
            if (order->second.ordered.kind == move_kind::load) {
                held.insert(order->second.ordered.model);
            } else {
                held.erase(order->second.ordered.model);
            }
        }
        if (const auto reserved = m.reservations.find(e.id); reserved != m.reservations.end()) {
            p.unavailable.insert(i);
            held.insert(reserved->second.model);
            for (const std::string& model : reserved->second.unloads) {
                held.erase(model);
            }
        }
        if (e.accepting) {
            for (const std::string& model : held) {
                ++p.copies[model];
                p.capacity[model] += e.capacity;
                p.holders[model].push_back(i);
            }
            for (const std::string& model : e.local_weights) {
                const duration local = load_time(f, e, model);
                const auto [known, first] = p.local_return.try_emplace(model, local);
                known->second = std::min(known->second, local);
            }
        } else {
            p.unavailable.insert(i);
            held.clear();
        }
        p.held.push_back(std::move(held));
    }
    for (const auto& held : p.held) {
        double sum = 0;
        for (const std::string& model : held) {
            sum += utilization_from(p, model);
        }
        p.utilization.push_back(sum);
    }
    p.store_loads_in_window = static_cast<std::uint32_t>(m.store_loads.size());
    for (const auto& [engine, order] : m.orders) {
        p.store_loads_running += order.ordered.from_store ? 1 : 0;
    }
    return p;
}

double free_memory_mb(const plan_state& p, std::size_t engine) {
    double free_mb = p.f.engines[engine].weights_capacity_mb;
    for (const std::string& model : p.f.engines[engine].models) {
        free_mb -= size_of(p.f, model);
    }
    return free_mb;
}

std::size_t copies_of(const plan_state& p, const std::string& model) {
    const auto found = p.copies.find(model);
    return found == p.copies.end() ? 0 : found->second;
}

namespace {

duration remaining_time(const plan_state& p, const engine_state& e, const pending_order& o) {
    const duration whole =
        o.ordered.kind == move_kind::load ? load_time(p.f, e, o.ordered.model) : swap_overhead;
    return std::max(duration::zero(), whole - (p.now - o.at));
}

}  // namespace

bool fits_with_local_weights(const plan_state& p, const std::string& model) {
    for (std::size_t i = 0; i < p.f.engines.size(); ++i) {
        const engine_state& e = p.f.engines[i];
        const auto refused = p.m.refused_until.find(e.id);
        if (refused != p.m.refused_until.end() && refused->second > p.now) {
            continue;
        }
        if (!e.accepting || !e.local_weights.contains(model) ||
            free_memory_mb(p, i) < size_of(p.f, model)) {
            continue;
        }
        const auto order = p.m.orders.find(e.id);
        const duration wait =
            order == p.m.orders.end() ? duration::zero() : remaining_time(p, e, order->second);
        const auto profile = p.f.models.find(model);
        if (profile == p.f.models.end() ||
            wait + load_time(p.f, e, model) < profile->second.store_load) {
            return true;
        }
    }
    return false;
}

bool store_allows_load(const plan_state& p) {
    return p.store_loads_in_window < p.s.max_store_loads_per_window &&
           p.store_loads_running < p.s.max_concurrent_store_loads;
}

void note_load(plan_state& p, std::size_t engine, const std::string& model, bool from_store) {
    ++p.copies[model];
    p.capacity[model] += p.f.engines[engine].capacity;
    p.held[engine].insert(model);
    p.holders[model].push_back(engine);
    p.unavailable.insert(engine);
    p.store_loads_in_window += from_store ? 1 : 0;
    p.store_loads_running += from_store ? 1 : 0;
}

void note_unload(plan_state& p, std::size_t engine, const std::string& model) {
    --p.copies[model];
    p.capacity[model] -= p.f.engines[engine].capacity;
    p.held[engine].erase(model);
    std::erase(p.holders[model], engine);
}

}  // namespace burdockdeck::placement
