// Plans model loads and unloads for engines that each hold several models. Models that are
// requested but loaded nowhere come first, then additional copies of the busiest models. Plans stay
// within each engine's memory and the weight store's load rate.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace burdockdeck::placement {

struct move_settings {
    // Another copy is considered only for models whose copies each use more than this share of an
    // engine.
    double busy_share = 0.08;
    // Concurrent loads from the weight store over all engines; more would slow each of them down.
    std::uint32_t max_concurrent_store_loads = 4;
    // Loads from the weight store that may begin within `store_window`.
    std::uint32_t max_store_loads_per_window = 6;
    duration store_window = std::chrono::seconds(5);
    // An order without visible effect for this long is treated as lost.
    duration order_timeout = std::chrono::seconds(14);
    // The same for an order that got no reply.
    duration unanswered_order_timeout = std::chrono::seconds(2);
    // Minimum time between the load and the unload of a model.
    duration min_residency = std::chrono::seconds(6);
};

// Size of a model's weights, and the time to load them from each place.
struct model_profile {
    double weights_mb = 0;
    duration store_load = std::chrono::milliseconds(5800);
    duration disk_load = std::chrono::milliseconds(1200);
    duration memory_load = std::chrono::milliseconds(400);
};

// One engine. Invariant: `models` are those that it announced; pending orders are kept only in
// `move_planner_state::orders`.
struct engine_state {
    std::string id;
    std::string address;
    std::uint64_t born_ms = 0;
    std::string failure_domain;
    bool accepting = true;
    // Share of an engine's usual rate of requests that this one takes, above 0 and up to 1: less
    // than 1 while it states a rate limit.
    double capacity = 1;
    // Memory for model weights, excluding what adapters may use.
    double weights_capacity_mb = 0;
    std::set<std::string> models;
    // Models whose weights are on the host, so that a load does not use the weight store.
    std::set<std::string> local_weights;
    // Those of `local_weights` that are in the host's memory.
    std::set<std::string> memory_weights;
};

enum class move_kind { load, unload };

// The second half of a swap: a load that waits until its engine has unloaded other models.
struct reserved_load {
    std::string model;
    // Models that are unloaded after the one in progress.
    std::vector<std::string> unloads;
    // Time of the swap's first order.
    time_point at{};
};

struct move {
    std::string engine;
    move_kind kind = move_kind::load;
    std::string model;
    bool from_store = false;
    std::string reason;
    // For an unload: the load that it makes room for.
    std::optional<reserved_load> makes_room_for = std::nullopt;
};

struct pending_order {
    move ordered;
    time_point at{};
};

// State of the planner between rounds.
struct move_planner_state {
    // Pending order of each engine, by engine id.
    std::map<std::string, pending_order> orders;
    // By engine id. Until the load is ordered, the engine gets no orders but those of its swap.
    std::map<std::string, reserved_load> reservations;
    // Start times of the loads from the weight store within `store_window`.
    std::deque<time_point> store_loads;
    // Time at which each copy was loaded, by engine and model.
    std::map<std::pair<std::string, std::string>, time_point> loaded_at;
    // Engines that refused an order, with the time until which they get no further order.
    std::map<std::string, time_point> refused_until;
};

// Demand for a model: the number of engines that it needs, and whether requests found no copy.
struct model_demand {
    double engines = 0;
    bool unplaced = false;
    // A copy should be loaded before the first request arrives.
    bool expected = true;
    // Engines outside this fleet also hold the model, so it stays reachable without a copy here.
    bool held_elsewhere = false;
};

struct fleet_state {
    std::vector<engine_state> engines;
    std::map<std::string, model_profile> models;
    std::map<std::string, model_demand> demand;
};

// --- Queries

// The moves to order now, at most one per engine.
[[nodiscard]] std::vector<move> next_moves(const fleet_state& f, const move_planner_state& m,
                                           const move_settings& s, time_point now);

// When the models that no accepting engine holds are expected to be loaded, by model. Contains only
// models with an order or a reservation.
[[nodiscard]] std::map<std::string, time_point> expected_first_copies(const fleet_state& f,
                                                                      const move_planner_state& m,
                                                                      time_point now);

// --- Commands

// Drops orders that took effect or timed out, reservations that can no longer be fulfilled,
// refusals that have expired, and store loads older than the window.
void reconcile_orders(move_planner_state& m, const fleet_state& f, const move_settings& s,
                      time_point now);
void record_order(move_planner_state& m, const move& ordered, time_point now);
// Records an order without a reply. It may still be carried out, so it stays pending, with the
// shorter `unanswered_order_timeout`.
void record_unanswered_order(move_planner_state& m, const move_settings& s,
                             const std::string& engine, time_point now);
// Records an order that the engine refused: the order is dropped. The engine is busy with an order
// unknown to this planner and gets no further one for a while, so that other engines are
// considered.
void record_refused_order(move_planner_state& m, const std::string& engine, time_point now);
// Sets the limits on loads from the weight store by its rate; very high rates are clamped.
void set_store_rate(move_settings& s, double loads_per_s, duration window);
// Resets the state for a new planner. It has no record of the previous planner's loads, so it
// counts part of the store's window as used.
void begin_planning(move_planner_state& m, const move_settings& s, time_point now);

}  // namespace burdockdeck::placement
