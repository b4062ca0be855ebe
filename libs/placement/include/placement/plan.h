// Placement of models on agents: plan(fleet, demand, now) -> changes, with a reason for each.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "catalog.pb.h"

namespace burdockdeck::placement {

// One version of one model.
struct model_version {
    std::string model;
    std::string version;
    bool operator==(const model_version& other) const {
        return model == other.model && version == other.version;
    }
    bool operator<(const model_version& other) const {
        return std::tie(model, version) < std::tie(other.model, other.version);
    }
};

// An engine's agent as the planner sees it. Memory in megabytes.
struct agent_view {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    std::uint32_t memory_mb = 0;
    bool leaving = false;
    std::vector<model_version> assigned;
    std::vector<model_version> resident;
};

// Expected work of a model, in replicas kept busy (1.0: one replica fully used).
using demand_by_model = std::map<std::string, double, std::less<>>;

struct plan_settings {
    // A replica is planned for this share of its capacity.
    double target_utilization = 0.7;
    // Replicas above the need are given up only after this time without need of them.
    duration scale_down_after = std::chrono::minutes(5);
};

// What the planner remembers between runs.
struct planner_state {
    // When each model last needed its present count of replicas.
    std::map<std::string, time_point, std::less<>> last_needed;
};

// The new full assignment of one agent.
struct assignment {
    std::string agent;
    std::uint64_t incarnation = 0;
    std::vector<model_version> assigned;
};

// Why a model stands where it stands, or why something could not be placed.
struct decision {
    std::string model;
    std::string text;
};

struct plan_result {
    std::vector<assignment> changes;
    std::vector<decision> decisions;
    // Models with no replica assigned anywhere, because none fits.
    std::vector<std::string> unplaced;
};

// Plans one step. Rules, in this order: memory of assigned and resident together is never above an
// agent's capacity; the last resident replica of a declared model stays until another serves; every
// declared model has a replica, then its minimum, then what demand asks for, high priority first;
// replicas spread over failure domains; as few moves as these rules allow.
[[nodiscard]] plan_result plan(const schema::document& document,
                               const std::vector<agent_view>& fleet, const demand_by_model& demand,
                               const plan_settings& settings, planner_state& memory,
                               time_point now);

// Replicas that `load` asks for within the model's bounds.
[[nodiscard]] std::uint32_t wanted_replicas(const schema::model& m, double load,
                                            const plan_settings& settings);

struct trial_result {
    bool fits = false;
    std::string reason;
    // Loads that the change takes.
    std::uint32_t loads = 0;
};

// Plays the change from `fleet` to `next` step by step, with every load succeeding. It fits if all
// minimum replicas stand at the end, and at no step a model that served before, and is declared in
// both documents, loses its last replica.
[[nodiscard]] trial_result try_document(const schema::document& current,
                                        const schema::document& next,
                                        std::vector<agent_view> fleet);

}  // namespace burdockdeck::placement
