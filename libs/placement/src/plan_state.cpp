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

using model_indices = std::map<std::string_view, model_index>;

// All models that the fleet lists, engines hold or hosts store, or that were ordered.
model_indices index_models(const fleet_state& f, const move_planner_state& m) {
    model_indices indices;
    const auto add = [&indices](const std::string& name) { indices.try_emplace(name, 0); };
    for (const auto& [name, profile] : f.models) {
        add(name);
    }
    for (const engine_state& e : f.engines) {
        std::for_each(e.models.begin(), e.models.end(), add);
        std::for_each(e.local_weights.begin(), e.local_weights.end(), add);
    }
    for (const auto& [id, order] : m.orders) {
        add(order.ordered.model);
    }
    for (const auto& [id, reserved] : m.reservations) {
        add(reserved.model);
        std::for_each(reserved.unloads.begin(), reserved.unloads.end(), add);
    }
    model_index next = 0;
    for (auto& [name, index] : indices) {
        index = next++;
    }
    return indices;
}

std::vector<planned_model> models_of(const fleet_state& f, const model_indices& indices) {
    std::vector<planned_model> models(indices.size());
    for (const auto& [name, index] : indices) {
        models[index].name = name;
    }
    for (const auto& [name, profile] : f.models) {
        planned_model& model = models[indices.at(name)];
        model.declared = true;
        model.profile = profile;
    }
    for (const auto& [name, demand] : f.demand) {
        const auto found = indices.find(name);
        if (found != indices.end()) {
            models[found->second].demand = demand;
        }
    }
    return models;
}

duration return_time(const planned_model& model) {
    return swap_overhead + model.local_return.value_or(model.profile.store_load);
}

void set_held(planned_engine& e, model_index model, bool held) {
    if (e.holds[model] != held) {
        e.holds[model] = held;
        e.held += held ? 1 : static_cast<std::size_t>(-1);
    }
}

// What the engine holds after its pending order and the rest of its swap.
void apply_orders(const plan_state& p, const engine_state& e, const model_indices& indices,
                  planned_engine& planned) {
    const auto refused = p.m.refused_until.find(e.id);
    if (refused != p.m.refused_until.end() && refused->second > p.now) {
        planned.available = false;
    }
    if (const auto order = p.m.orders.find(e.id); order != p.m.orders.end()) {
        planned.available = false;
        set_held(planned, indices.at(order->second.ordered.model),
                 order->second.ordered.kind == move_kind::load);
    }
    if (const auto reserved = p.m.reservations.find(e.id); reserved != p.m.reservations.end()) {
        planned.available = false;
        set_held(planned, indices.at(reserved->second.model), true);
        for (const std::string& model : reserved->second.unloads) {
            set_held(planned, indices.at(model), false);
        }
    }
}

planned_engine engine_of(const plan_state& p, engine_index i, const model_indices& indices) {
    const engine_state& e = p.f.engines[i];
    planned_engine planned;
    planned.holds.resize(indices.size());
    planned.announces.resize(indices.size());
    planned.has_weights.resize(indices.size());
    planned.has_weights_in_memory.resize(indices.size());
    planned.free_memory_mb = e.weights_capacity_mb;
    for (const std::string& name : e.models) {
        const model_index model = indices.at(name);
        planned.announced.push_back(model);
        planned.announces[model] = true;
        planned.free_memory_mb -= p.models[model].profile.weights_mb;
        set_held(planned, model, true);
    }
    for (const std::string& name : e.local_weights) {
        planned.has_weights[indices.at(name)] = true;
        planned.has_weights_in_memory[indices.at(name)] = e.memory_weights.contains(name);
    }
    apply_orders(p, e, indices, planned);
    if (!e.accepting) {
        planned.available = false;
        planned.holds.assign(indices.size(), false);
        planned.held = 0;
    }
    return planned;
}

// Adds the copies and stored weights of one engine to its models.
void add_to_models(plan_state& p, engine_index i) {
    const engine_state& e = p.f.engines[i];
    const planned_engine& planned = p.engines[i];
    for (model_index model = 0; model < p.models.size(); ++model) {
        planned_model& m = p.models[model];
        if (planned.holds[model]) {
            ++m.copies;
            m.capacity += e.capacity;
            m.holders.push_back(i);
        }
        if (!planned.has_weights[model]) {
            continue;
        }
        m.hosts.push_back(i);
        if (e.accepting) {
            const duration local = load_time(p, i, model);
            m.local_return = std::min(m.local_return.value_or(local), local);
        }
    }
}

duration remaining_time(const plan_state& p, engine_index engine, const pending_order& o) {
    const duration whole = o.ordered.kind == move_kind::load
                               ? load_time(p.f, p.f.engines[engine], o.ordered.model)
                               : swap_overhead;
    return std::max(duration::zero(), whole - (p.now - o.at));
}

}  // namespace

double size_of(const fleet_state& f, const std::string& model) {
    const auto found = f.models.find(model);
    return found == f.models.end() ? 0 : found->second.weights_mb;
}

double utilization_from(const planned_model& model, double capacity) {
    return model.demand.engines / std::max(capacity, min_capacity);
}

double utilization_from(const planned_model& model) {
    return model.copies == 0 ? 0 : utilization_from(model, model.capacity);
}

double cost_of(double utilization) {
    const double over = std::max(0.0, utilization - queueing_utilization);
    return utilization * utilization + queueing_weight * over * over;
}

double presence_value(const planned_model& model) {
    const model_demand& d = model.demand;
    if (d.unplaced || d.engines > idle_demand) {
        // Serving all demand from one overloaded engine is better than serving none of it.
        return demanded_presence_value + 2 * cost_of(d.engines);
    }
    return d.expected && !d.held_elsewhere
               ? idle_presence_value + idle_presence_value_per_s * to_seconds(return_time(model))
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

duration load_time(const plan_state& p, engine_index engine, model_index model) {
    const model_profile& profile = p.models[model].profile;
    if (p.engines[engine].has_weights_in_memory[model]) {
        return profile.memory_load;
    }
    return p.engines[engine].has_weights[model] ? profile.disk_load : profile.store_load;
}

plan_state state_of(const fleet_state& f, const move_planner_state& m, const move_settings& s,
                    time_point now) {
    const model_indices indices = index_models(f, m);
    plan_state p{f, m, s, now, models_of(f, indices), {}, 0, 0};
    p.engines.reserve(f.engines.size());
    for (engine_index i = 0; i < f.engines.size(); ++i) {
        p.engines.push_back(engine_of(p, i, indices));
        add_to_models(p, i);
    }
    for (planned_engine& e : p.engines) {
        for (model_index model = 0; model < p.models.size(); ++model) {
            e.utilization += e.holds[model] ? utilization_from(p.models[model]) : 0;
        }
    }
    p.store_loads_in_window = static_cast<std::uint32_t>(m.store_loads.size());
    for (const auto& [engine, order] : m.orders) {
        p.store_loads_running += order.ordered.from_store ? 1 : 0;
    }
    return p;
}

bool fits_with_local_weights(const plan_state& p, model_index model) {
    const model_profile& profile = p.models[model].profile;
    for (const engine_index i : p.models[model].hosts) {
        const engine_state& e = p.f.engines[i];
        const auto refused = p.m.refused_until.find(e.id);
        if ((refused != p.m.refused_until.end() && refused->second > p.now) || !e.accepting ||
            p.engines[i].free_memory_mb < profile.weights_mb) {
            continue;
        }
        const auto order = p.m.orders.find(e.id);
        const duration wait =
            order == p.m.orders.end() ? duration::zero() : remaining_time(p, i, order->second);
        if (!p.models[model].declared || wait + load_time(p, i, model) < profile.store_load) {
            return true;
        }
    }
    return false;
}

bool store_allows_load(const plan_state& p) {
    return p.store_loads_in_window < p.s.max_store_loads_per_window &&
           p.store_loads_running < p.s.max_concurrent_store_loads;
}

void note_load(plan_state& p, engine_index engine, model_index model, bool from_store) {
    planned_model& m = p.models[model];
    ++m.copies;
    m.capacity += p.f.engines[engine].capacity;
    m.holders.push_back(engine);
    set_held(p.engines[engine], model, true);
    p.engines[engine].available = false;
    p.store_loads_in_window += from_store ? 1 : 0;
    p.store_loads_running += from_store ? 1 : 0;
}

void note_unload(plan_state& p, engine_index engine, model_index model) {
    planned_model& m = p.models[model];
    --m.copies;
    m.capacity -= p.f.engines[engine].capacity;
    std::erase(m.holders, engine);
    set_held(p.engines[engine], model, false);
}

}  // namespace burdockdeck::placement
