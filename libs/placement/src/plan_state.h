// Working state of the move planner's search: the models that engines hold, their value, and
// pending orders.
#pragma once

#include <map>
#include <set>
#include <string>
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

// The fleet as it will be after all pending orders. `held` and `utilization` are indexed like
// `f.engines`; `unavailable` holds the indices of engines that get no order in this round.
struct plan_state {
    const fleet_state& f;
    const move_planner_state& m;
    const move_settings& s;
    time_point now;
    std::vector<std::set<std::string>> held;
    std::map<std::string, std::size_t> copies;
    // Indices of the engines in `held` with the model.
    std::map<std::string, std::vector<std::size_t>> holders;
    // Shortest time to load the model again from any host's weights; models without an entry are
    // loaded from the weight store.
    std::map<std::string, duration> local_return;
    // Summed `engine_state::capacity` of each model's copies.
    std::map<std::string, double> capacity;
    // Demand as a share of the engine's capacity.
    std::vector<double> utilization;
    std::set<std::size_t> unavailable;
    std::uint32_t store_loads_in_window = 0;
    std::uint32_t store_loads_running = 0;
};

[[nodiscard]] plan_state state_of(const fleet_state& f, const move_planner_state& m,
                                  const move_settings& s, time_point now);

// --- Queries

[[nodiscard]] double size_of(const fleet_state& f, const std::string& model);
[[nodiscard]] model_demand demand_of(const fleet_state& f, const std::string& model);
[[nodiscard]] std::size_t copies_of(const plan_state& p, const std::string& model);
// Utilization that the demand for `model` causes at each engine that holds it: requests go to the
// copies in proportion to their engines' capacity.
[[nodiscard]] double utilization_from(const plan_state& p, const std::string& model);
// The same if the model's copies had `capacity` in sum.
[[nodiscard]] double utilization_from(const plan_state& p, const std::string& model,
                                      double capacity);
[[nodiscard]] double capacity_of(const plan_state& p, const std::string& model);
// Cost of an engine's utilization to its requests, in the objective that the planner minimizes.
[[nodiscard]] double cost_of(double utilization);
// Time until `model` can serve again if a load is decided now.
[[nodiscard]] duration return_time(const plan_state& p, const std::string& model);
// Value of having at least one copy of `model`, in the unit of `cost_of`.
[[nodiscard]] double presence_value(const plan_state& p, const std::string& model);
[[nodiscard]] const std::vector<std::size_t>& holders_of(const plan_state& p,
                                                         const std::string& model);
// Time that the engine needs to load `model`.
[[nodiscard]] duration load_time(const fleet_state& f, const engine_state& e,
                                 const std::string& model);
[[nodiscard]] double free_memory_mb(const plan_state& p, std::size_t engine);
// True if an engine with the weights of `model` on its host has memory for it and will have loaded
// it, after its pending order if there is one, before a load from the store could end.
[[nodiscard]] bool fits_with_local_weights(const plan_state& p, const std::string& model);
[[nodiscard]] bool store_allows_load(const plan_state& p);

// --- Commands

// Adds a load of `model` at `engine` to the state; does not update `utilization`.
void note_load(plan_state& p, std::size_t engine, const std::string& model, bool from_store);
// Removes a copy of `model` at `engine` from the state; does not update `utilization`.
void note_unload(plan_state& p, std::size_t engine, const std::string& model);

}  // namespace burdockdeck::placement
