// Greedy assignment: repeatedly loads the copy with the highest gain, preferably on an engine whose
// host has the weights.
#include "fill.h"

#include <algorithm>
#include <optional>
#include <queue>

namespace burdockdeck::placement {

namespace {

struct wanted_copy {
    double gain = 0;
    std::string model;

    bool operator<(const wanted_copy& other) const {
        return gain < other.gain;
    }
};

// Improvement of the objective by one more copy of `model`, before the cost of its load.
double gain_of_copy(const plan_state& p, const std::string& model) {
    if (copies_of(p, model) == 0) {
        const double engines = demand_of(p.f, model).engines;
        return presence_value(p, model) > 0 ? presence_value(p, model) + cost_of(engines) : 0;
    }
    const double capacity = capacity_of(p, model);
    return capacity * cost_of(utilization_from(p, model)) -
           (capacity + 1) * cost_of(utilization_from(p, model, capacity + 1));
}

std::vector<std::size_t> empty_engines(const plan_state& p) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < p.held.size(); ++i) {
        if (!p.unavailable.contains(i) && p.held[i].empty() && p.f.engines[i].models.empty()) {
            out.push_back(i);
        }
    }
    return out;
}

// The engine for a copy of `model`. Among engines whose host has the weights, takes the one whose
// host has the weights of the fewest models, because a host with many may be the only one with
// the weights of some of them. Loading from the store takes longer than waiting for an engine with
// the weights on its host, so the store is used only if no such engine has memory for the model.
std::optional<std::size_t> engine_for(const plan_state& p, const std::vector<std::size_t>& empty,
                                      const std::string& model) {
    std::optional<std::size_t> from_store;
    std::optional<std::size_t> from_host;
    for (const std::size_t i : empty) {
        const engine_state& e = p.f.engines[i];
        if (p.unavailable.contains(i) || e.weights_capacity_mb < size_of(p.f, model)) {
            continue;
        }
        const bool has_weights = e.local_weights.contains(model);
        if (has_weights &&
            (!from_host || e.local_weights.size() < p.f.engines[*from_host].local_weights.size())) {
            from_host = i;
        } else if (!has_weights && !from_store) {
            from_store = i;
        }
    }
    return fits_with_local_weights(p, model) || !store_allows_load(p) ? from_host : from_store;
}

}  // namespace

std::vector<move> fill_empty_engines(plan_state& p) {
    std::vector<move> moves;
    const std::vector<std::size_t> empty = empty_engines(p);
    std::priority_queue<wanted_copy> wanted;
    for (const auto& [model, size] : p.f.models) {
        wanted.push({gain_of_copy(p, model), model});
    }
    while (moves.size() < empty.size() && !wanted.empty()) {
        const wanted_copy next = wanted.top();
        wanted.pop();
        const auto engine = engine_for(p, empty, next.model);
        if (!engine) {
            continue;
        }
        const engine_state& e = p.f.engines[*engine];
        const bool from_store = !e.local_weights.contains(next.model);
        if (next.gain <= (from_store ? store_load_cost : local_load_cost)) {
            continue;
        }
        moves.push_back({e.id, move_kind::load, next.model, from_store,
                         "empty engine, gain " + std::to_string(next.gain)});
        note_load(p, *engine, next.model, from_store);
        p.utilization[*engine] = utilization_from(p, next.model);
        wanted.push({gain_of_copy(p, next.model), next.model});
    }
    return moves;
}

}  // namespace burdockdeck::placement
