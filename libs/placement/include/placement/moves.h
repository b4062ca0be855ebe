// Loads and unloads of models over engines that hold several: demand that found no copy first, then
// the copies that are busiest, within the memory of each engine and the rate of the weight store.
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
    // Only a copy busier than this share of an engine gets another beside it.
    double busy_share = 0.08;
    // Loads from the store at the same time, over all engines; beyond, each takes longer.
    std::uint32_t max_concurrent_store_loads = 4;
    // Loads from the store that begin within the window.
    std::uint32_t max_store_loads_per_window = 6;
    duration store_window = std::chrono::seconds(5);
    // An order that shows no effect for this long is taken as lost.
    duration order_patience = std::chrono::seconds(14);
    // The same for one that got no answer.
    duration unanswered_patience = std::chrono::seconds(2);
    // A model that was loaded is not unloaded sooner than this.
    duration least_stay = std::chrono::seconds(6);
};

struct model_size {
    double weights_mb = 0;
};

// One engine. Invariant: `models` are those it announced; an order under way is in `order` alone.
struct engine_state {
    std::string id;
    std::string address;
    std::uint64_t born_ms = 0;
    std::string failure_domain;
    bool accepting = true;
    // Room for weights, without what adapters may take.
    double weights_capacity_mb = 0;
    std::set<std::string> models;
    // Models whose weights the host has, so that a load needs no store.
    std::set<std::string> local_weights;
};

enum class move_kind { load, unload };

struct move {
    std::string engine;
    move_kind kind = move_kind::load;
    std::string model;
    bool from_store = false;
    std::string reason;
};

struct pending_order {
    move ordered;
    time_point at{};
};

// What the planner remembers between rounds.
struct move_planner_state {
    // By engine.
    std::map<std::string, pending_order> orders;
    // Beginnings of loads from the store within the window.
    std::deque<time_point> store_loads;
    // When each copy was loaded, by engine and model.
    std::map<std::pair<std::string, std::string>, time_point> loaded;
    // Engines that refused an order, and until when they get none.
    std::map<std::string, time_point> refused_until;
};

// Demand of a model: the share of engines that it needs, and whether requests found it nowhere.
struct model_demand {
    double engines = 0;
    bool unplaced = false;
    // It should be here before anyone asks for it.
    bool expected = true;
    // Engines outside this fleet hold it too: it stays reachable without a copy here.
    bool held_elsewhere = false;
};

struct fleet_state {
    std::vector<engine_state> engines;
    std::map<std::string, model_size> models;
    std::map<std::string, model_demand> demand;
};

// --- Queries

// The moves to order now, at most one for each engine.
[[nodiscard]] std::vector<move> next_moves(const fleet_state& f, const move_planner_state& m,
                                           const move_settings& s, time_point now);

// --- Commands

// Forgets orders whose effect shows or that are lost, and loads that have left the window.
void reconcile_orders(move_planner_state& m, const fleet_state& f, const move_settings& s,
                      time_point now);
void record_order(move_planner_state& m, const move& ordered, time_point now);
// An order that got no answer: it may still be carried out, but it holds up nothing for long.
void record_unanswered_order(move_planner_state& m, const move_settings& s,
                             const std::string& engine, time_point now);
// An order that the engine refused never holds; it is busy with another one that nobody here knows
// of, and gets none for a while, so that other engines are considered.
void record_refused_order(move_planner_state& m, const std::string& engine, time_point now);
// A planner that has just begun does not know the loads before it: it takes part of the window as
// used up.
void begin_planning(move_planner_state& m, const move_settings& s, time_point now);

}  // namespace burdockdeck::placement
