// Compares the expected end of a load with the time that the caller waits.
#include "dispatch/absence.h"

#include <algorithm>

namespace burdockdeck::dispatch {

namespace {

// Time from the decision to load a model until the load begins: the report of its demand, the
// planner's round and the unload of another model.
constexpr duration load_preparation = std::chrono::milliseconds(1000);
// Time within which the planner orders a load for a model that was found absent, and announces it.
constexpr duration planning_time = std::chrono::milliseconds(600);
// Time from the end of a load until this gateway knows of it, and the longest wait for a load that
// has taken longer than expected.
constexpr duration announcement_delay = std::chrono::milliseconds(150);
// Share of the caller's patience that it may wait for the load; the rest is for its prompt.
constexpr double hold_share = 0.75;

}  // namespace

bool is_model_absent(const std::vector<upstream*>& all, const request_view& r, time_point now) {
    if (r.needs->model.empty()) {
        return false;
    }
    bool any_absent = false;
    for (const upstream* u : all) {
        switch (obstacle_to(*u, r, now)) {
            case obstacle::not_accepting:
            case obstacle::leaving:
            case obstacle::leaves_too_soon:
            case obstacle::other_software:
                break;
            case obstacle::model_absent:
                any_absent = true;
                break;
            default:
                return false;
        }
    }
    return any_absent;
}

duration estimate_load(const std::vector<upstream*>& all, const std::string& model,
                       duration from_memory, duration from_disk, duration from_store) {
    duration shortest = from_store;
    for (const upstream* u : all) {
        if (!u->accepting) {
            continue;
        }
        if (u->weights_in_memory.contains(model)) {
            shortest = std::min(shortest, from_memory);
        } else if (u->weights_on_disk.contains(model)) {
            shortest = std::min(shortest, from_disk);
        }
    }
    return load_preparation + shortest;
}

absence_decision decide_absence(const model_return& m, duration patience, duration waited,
                                time_point now) {
    const bool is_planned = m.expected_at.has_value();
    const duration remaining =
        std::max(duration::zero(), is_planned ? *m.expected_at - now : m.load_estimate - waited);
    const duration wait = remaining + announcement_delay;
    const auto longest = std::chrono::duration_cast<duration>(patience * hold_share);
    return {wait <= longest && (is_planned || waited < planning_time), wait};
}

}  // namespace burdockdeck::dispatch
