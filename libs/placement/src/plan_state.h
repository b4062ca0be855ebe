// Working state of the move planner's search: the models that engines hold, their value, and
// pending orders. Models and engines are numbered, because a search looks each of them up thousands
// of times.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "placement/moves.h"

namespace burdockdeck::placement {

// Costs of a load, in the unit of `cost_of` (squared utilization of an engine). A move's
// improvement must exceed them, so that small changes in demand cause no moves.
inline constexpr double store_load_cost = 0.15;
inline constexpr double local_load_cost = 0.08;
// Time from the decision to move a model until the load begins: notice to the gateways, the unload
// and its confirmation.
inline constexpr duration swap_overhead = std::chrono::seconds(1);
// A model with at most this demand, as a share of an engine, may lose its last copy.
inline constexpr double idle_demand = 0.02;

// Index into `plan_state::models`.
using model_index = std::size_t;
// Index into `plan_state::engines` and `fleet_state::engines`.
using engine_index = std::size_t;

struct planned_model {
    std::string_view name;
    // False for a model that an engine holds, or that was ordered, although the fleet lacks it.
    bool declared = false;
    model_profile profile;
    model_demand demand;
    std::size_t copies = 0;
    // Engines that hold the model, and the sum of their `engine_state::capacity`.
    std::vector<engine_index> holders;
    double capacity = 0;
    // Engines whose host has the weights.
    std::vector<engine_index> hosts;
    // Shortest time to load the model again from an accepting engine's host; empty if only the
    // weight store has the weights.
    std::optional<duration> local_return;
};

// `holds`, `announces`, `has_weights` and `has_weights_in_memory` are indexed by model.
struct planned_engine {
    // Held after all pending orders.
    std::vector<bool> holds;
    std::size_t held = 0;
    // Announced by the engine, in the order of their indices.
    std::vector<model_index> announced;
    std::vector<bool> announces;
    std::vector<bool> has_weights;
    std::vector<bool> has_weights_in_memory;
    double free_memory_mb = 0;
    // Demand as a share of the engine's capacity.
    double utilization = 0;
    // False if the engine gets no order in this round.
    bool available = true;
};

// The fleet as it will be after all pending orders. Invariant: `models` is sorted by name.
struct plan_state {
    const fleet_state& f;
    const move_planner_state& m;
    const move_settings& s;
    time_point now;
    std::vector<planned_model> models;
    std::vector<planned_engine> engines;
    std::uint32_t store_loads_in_window = 0;
    std::uint32_t store_loads_running = 0;
};

[[nodiscard]] plan_state state_of(const fleet_state& f, const move_planner_state& m,
                                  const move_settings& s, time_point now);

// --- Queries

[[nodiscard]] double size_of(const fleet_state& f, const std::string& model);
// Utilization that the demand for `model` causes at each engine that holds it: requests go to the
// copies in proportion to their engines' capacity.
[[nodiscard]] double utilization_from(const planned_model& model);
// The same if the model's copies had `capacity` in sum.
[[nodiscard]] double utilization_from(const planned_model& model, double capacity);
// Cost of an engine's utilization to its requests, in the objective that the planner minimizes.
[[nodiscard]] double cost_of(double utilization);
// Value of having at least one copy of `model`, in the unit of `cost_of`.
[[nodiscard]] double presence_value(const planned_model& model);
// Time that the engine needs to load `model`.
[[nodiscard]] duration load_time(const fleet_state& f, const engine_state& e,
                                 const std::string& model);
[[nodiscard]] duration load_time(const plan_state& p, engine_index engine, model_index model);
// True if an engine with the weights of `model` on its host has memory for it and will have loaded
// it, after its pending order if there is one, before a load from the store could end.
[[nodiscard]] bool fits_with_local_weights(const plan_state& p, model_index model);
[[nodiscard]] bool store_allows_load(const plan_state& p);

// --- Commands

// Adds a load of `model` at `engine` to the state; does not update `utilization`.
void note_load(plan_state& p, engine_index engine, model_index model, bool from_store);
// Removes a copy of `model` at `engine` from the state; does not update `utilization`.
void note_unload(plan_state& p, engine_index engine, model_index model);

}  // namespace burdockdeck::placement
