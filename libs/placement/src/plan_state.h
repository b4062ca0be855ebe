// The fleet as the planner's search sees it: what engines hold, what that is worth, what is under
// way.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "placement/moves.h"

namespace burdockdeck::placement {

// Prices of a load, against squared utilizations of engines: a move must be worth more, so that
// small changes of demand move nothing.
inline constexpr double store_load_cost = 0.15;
inline constexpr double copy_load_cost = 0.08;
// Demand under this share of an engine does not keep a last copy from going.
inline constexpr double idle_demand = 0.02;

// The fleet as it will be once all orders are carried out. `held` and `utilization` go by the place
// of an engine in `f.engines`; `used` holds engines that get no order in this round.
struct plan_state {
    const fleet_state& f;
    const move_planner_state& m;
    const move_settings& s;
    time_point now;
    std::vector<std::set<std::string>> held;
    std::map<std::string, std::size_t> copies;
    std::vector<double> utilization;
    std::set<std::size_t> used;
    std::uint32_t store_begun = 0;
    std::uint32_t store_running = 0;
};

[[nodiscard]] plan_state state_of(const fleet_state& f, const move_planner_state& m,
                                  const move_settings& s, time_point now);

// --- Queries

[[nodiscard]] double size_of(const fleet_state& f, const std::string& model);
[[nodiscard]] model_demand demand_of(const fleet_state& f, const std::string& model);
[[nodiscard]] std::size_t copies_of(const plan_state& p, const std::string& model);
// Demand that each copy of `model` carries, in engines.
[[nodiscard]] double share_of(const plan_state& p, const std::string& model);
// What an engine's utilization costs its requests.
[[nodiscard]] double cost_of(double utilization);
// What it is worth that `model` is held somewhere.
[[nodiscard]] double presence_of(const plan_state& p, const std::string& model);
[[nodiscard]] double free_room(const plan_state& p, std::size_t engine);
// True if some engine, maybe under another order for a moment, has room for `model` and its
// weights.
[[nodiscard]] bool fits_beside_its_copy(const plan_state& p, const std::string& model);
[[nodiscard]] bool store_is_open(const plan_state& p);

// --- Commands

// Takes a load of `model` at `engine` into account, but for utilizations.
void note_load(plan_state& p, std::size_t engine, const std::string& model, bool from_store);

}  // namespace burdockdeck::placement
