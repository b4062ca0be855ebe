// Assigns models to agents: computes the changes to the current assignment from the document, the
// fleet and the demand, with a reason for each change.
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

// The planner's view of an engine's agent.
struct agent_view {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    std::uint32_t memory_mb = 0;
    bool leaving = false;
    std::vector<model_version> assigned;
    std::vector<model_version> resident;
};

// Expected load of each model, in fully used replicas (1.0: one replica at full capacity).
using demand_by_model = std::map<std::string, double, std::less<>>;

struct plan_settings {
    // Planned load of a replica as a share of its capacity.
    double target_utilization = 0.7;
    // Surplus replicas are removed only after they were not needed for this time.
    duration scale_down_after = std::chrono::minutes(5);
};

// State of the planner between runs.
struct planner_state {
    // The last time that each model needed all of its current replicas.
    std::map<std::string, time_point, std::less<>> last_needed;
};

// The new full assignment of one agent.
struct assignment {
    std::string agent;
    std::uint64_t incarnation = 0;
    std::vector<model_version> assigned;
};

// The reason for a placement change, or why a model could not be placed.
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

// Plans one step. Rules, in order of precedence:
// - the models assigned to and resident at an agent together never exceed its memory;
// - the last resident replica of a declared model stays until another one serves;
// - every declared model gets one replica, then its minimum, then the replicas for its demand, high
//   priority first;
// - replicas are spread over failure domains;
// - no more moves than these rules require.
[[nodiscard]] plan_result plan(const schema::document& document,
                               const std::vector<agent_view>& fleet, const demand_by_model& demand,
                               const plan_settings& settings, planner_state& state, time_point now);

// Replicas needed for `load`, within the model's minimum and maximum.
[[nodiscard]] std::uint32_t wanted_replicas(const schema::model& m, double load,
                                            const plan_settings& settings);

struct trial_result {
    bool fits = false;
    std::string reason;
    // Number of model loads that the change requires.
    std::uint32_t loads = 0;
};

// Simulates the change of `fleet` to the document `next` step by step, assuming that every load
// succeeds. It fits if all minimum replicas are resident at the end, every agent's models fit its
// memory, and no step takes the last replica from a model that is declared in both documents and
// was served before.
[[nodiscard]] trial_result try_document(const schema::document& current,
                                        const schema::document& next,
                                        std::vector<agent_view> fleet);

}  // namespace burdockdeck::placement
