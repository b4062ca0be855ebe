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
    model_index model = 0;

    bool operator<(const wanted_copy& other) const {
        return gain < other.gain;
    }
};

// Improvement of the objective by one more copy of `model`, before the cost of its load.
double gain_of_copy(const planned_model& model) {
    if (model.copies == 0) {
        const double presence = presence_value(model);
        return presence > 0 ? presence + cost_of(model.demand.engines) : 0;
    }
    return model.capacity * cost_of(utilization_from(model)) -
           (model.capacity + 1) * cost_of(utilization_from(model, model.capacity + 1));
}

std::vector<engine_index> empty_engines(const plan_state& p) {
    std::vector<engine_index> out;
    for (engine_index i = 0; i < p.engines.size(); ++i) {
        const planned_engine& e = p.engines[i];
        if (e.available && e.held == 0 && e.announced.empty()) {
            out.push_back(i);
        }
    }
    return out;
}

// The engine for a copy of `model`. Among engines whose host has the weights, takes the one whose
// host has the weights of the fewest models, because a host with many may be the only one with
// the weights of some of them. Loading from the store takes longer than waiting for an engine with
// the weights on its host, so the store is used only if no such engine has memory for the model.
std::optional<engine_index> engine_for(const plan_state& p, const std::vector<engine_index>& empty,
                                       model_index model) {
    std::optional<engine_index> from_store;
    std::optional<engine_index> from_host;
    for (const engine_index i : empty) {
        const engine_state& e = p.f.engines[i];
        if (!p.engines[i].available || e.weights_capacity_mb < p.models[model].profile.weights_mb) {
            continue;
        }
        const bool has_weights = p.engines[i].has_weights[model];
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
    const std::vector<engine_index> empty = empty_engines(p);
    if (empty.empty()) {
        return moves;
    }
    std::priority_queue<wanted_copy> wanted;
    for (model_index model = 0; model < p.models.size(); ++model) {
        if (p.models[model].declared) {
            wanted.push({gain_of_copy(p.models[model]), model});
        }
    }
    while (moves.size() < empty.size() && !wanted.empty()) {
        const wanted_copy next = wanted.top();
        wanted.pop();
        const auto engine = engine_for(p, empty, next.model);
        if (!engine) {
            continue;
        }
        planned_engine& e = p.engines[*engine];
        const planned_model& model = p.models[next.model];
        const bool from_store = !e.has_weights[next.model];
        if (next.gain <= (from_store ? store_load_cost : local_load_cost)) {
            continue;
        }
        moves.push_back({p.f.engines[*engine].id, move_kind::load, std::string(model.name),
                         from_store, "empty engine, gain " + std::to_string(next.gain)});
        note_load(p, *engine, next.model, from_store);
        e.utilization = utilization_from(model);
        wanted.push({gain_of_copy(model), next.model});
    }
    return moves;
}

}  // namespace burdockdeck::placement
