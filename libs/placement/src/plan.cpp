// The assignment planner. A run works on a copy of the fleet, in which an agent's used memory is
// that of its assigned and its still resident models together.
#include "placement/plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "document/document.h"

namespace burdockdeck::placement {

namespace {

// A trial that has not converged after this number of steps is refused.
constexpr int max_trial_steps = 200;

// A declared model and its footprint in megabytes.
struct declared_model {
    const schema::model* model = nullptr;
    std::uint32_t size_mb = 0;
};

struct working_agent {
    const agent_view* view = nullptr;
    std::set<model_version> assigned;
    std::set<model_version> resident;
    std::uint64_t used_mb = 0;
    bool changed = false;
};

struct model_need {
    const schema::model* model = nullptr;
    model_version target;
    std::uint32_t wanted = 0;
};

// Working state of one planner run.
struct workspace {
    std::unordered_map<std::string_view, declared_model> declared;
    std::vector<working_agent> agents;
    std::vector<model_need> needs;
    // By model: indices of the agents with any version of it assigned or resident.
    std::map<std::string, std::set<std::size_t>, std::less<>> holders;
    plan_result out;
};

std::uint32_t size_of(const workspace& w, const model_version& i) {
    const auto found = w.declared.find(i.model);
    return found == w.declared.end() ? 0 : found->second.size_mb;
}

const schema::model* find_model(const workspace& w, const std::string& name) {
    const auto found = w.declared.find(name);
    return found == w.declared.end() ? nullptr : found->second.model;
}

std::uint64_t free_mb(const working_agent& a) {
    return a.view->memory_mb > a.used_mb ? a.view->memory_mb - a.used_mb : 0;
}

void add_decision(workspace& w, const std::string& model, std::string text) {
    w.out.decisions.push_back({model, std::move(text)});
}

void assign(workspace& w, std::size_t agent, const model_version& i) {
    working_agent& a = w.agents[agent];
    if (!a.assigned.insert(i).second) {
        return;
    }
    if (!a.resident.contains(i)) {
        a.used_mb += size_of(w, i);
    }
    a.changed = true;
    w.holders[i.model].insert(agent);
}

// Removes `i` from the assignment. Its memory counts as used until the agent reports the unload.
void unassign(workspace& w, std::size_t agent, const model_version& i) {
    working_agent& a = w.agents[agent];
    if (a.assigned.erase(i) == 0) {
        return;
    }
    if (!a.resident.contains(i)) {
        a.used_mb -= std::min<std::uint64_t>(a.used_mb, size_of(w, i));
    }
    a.changed = true;
}

std::vector<std::size_t> holders_of(const workspace& w, const std::string& model) {
    const auto found = w.holders.find(model);
    if (found == w.holders.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

// Counts agents that have `target` assigned and are not leaving.
std::uint32_t assigned_count(const workspace& w, const model_version& target) {
    const auto holders = holders_of(w, target.model);
    return static_cast<std::uint32_t>(std::count_if(holders.begin(), holders.end(), [&](auto i) {
        return !w.agents[i].view->leaving && w.agents[i].assigned.contains(target);
    }));
}

// Counts agents with a version of the model both assigned and resident.
std::uint32_t serving_count(const workspace& w, const std::string& model) {
    std::uint32_t count = 0;
    for (const std::size_t i : holders_of(w, model)) {
        const working_agent& a = w.agents[i];
        count += std::any_of(a.assigned.begin(), a.assigned.end(), [&](const model_version& held) {
            return held.model == model && a.resident.contains(held);
        });
    }
    return count;
}

bool serves(const workspace& w, std::size_t agent, const model_version& i) {
    return w.agents[agent].assigned.contains(i) && w.agents[agent].resident.contains(i);
}

std::map<std::string, int> replicas_by_domain(const workspace& w, const model_version& target) {
    std::map<std::string, int> counts;
    for (const std::size_t i : holders_of(w, target.model)) {
        if (w.agents[i].assigned.contains(target)) {
            ++counts[w.agents[i].view->failure_domain];
        }
    }
    return counts;
}

// The best agent with enough free memory. Criteria in order: fewest replicas in its failure domain,
// model already resident, most free memory.
std::optional<std::size_t> best_agent(const workspace& w, const model_version& target) {
    const std::map<std::string, int> domains = replicas_by_domain(w, target);
    const auto in_domain = [&](const working_agent& a) {
        const auto found = domains.find(a.view->failure_domain);
        return found == domains.end() ? 0 : found->second;
    };
    static const std::set<std::size_t> no_holders;
    const auto found = w.holders.find(target.model);
    const std::set<std::size_t>& holders = found == w.holders.end() ? no_holders : found->second;
    const std::uint32_t size = size_of(w, target);
    std::optional<std::size_t> best;
    std::tuple<int, int, std::int64_t> best_rank;
    for (std::size_t i = 0; i < w.agents.size(); ++i) {
        const working_agent& a = w.agents[i];
        const bool holds = holders.contains(i);
        const bool resident = holds && a.resident.contains(target);
        const bool fits = resident || free_mb(a) >= size;
        if (a.view->leaving || !fits || (holds && a.assigned.contains(target))) {
            continue;
        }
        const std::tuple<int, int, std::int64_t> rank{in_domain(a), resident ? 0 : 1,
                                                      -static_cast<std::int64_t>(free_mb(a))};
        if (!best || rank < best_rank) {
            best = i;
            best_rank = rank;
        }
    }
    return best;
}

// Removes assignments of models or versions that are no longer declared. Make before break: a
// loaded old version stays until the declared version serves.
void drop_obsolete(workspace& w) {
    for (std::size_t i = 0; i < w.agents.size(); ++i) {
        const std::set<model_version> held = w.agents[i].assigned;
        for (const model_version& old : held) {
            const schema::model* m = find_model(w, old.model);
            if (m == nullptr) {
                unassign(w, i, old);
                add_decision(w, old.model,
                             "removed from " + w.agents[i].view->name + ": not declared");
                continue;
            }
            if (m->version() == old.version) {
                continue;
            }
            const model_version target{old.model, m->version()};
            bool replaced = false;
            for (const std::size_t h : holders_of(w, old.model)) {
                replaced = replaced || serves(w, h, target);
            }
            const bool idle = !w.agents[i].resident.contains(old);
            if (replaced || idle) {
                unassign(w, i, old);
                add_decision(
                    w, old.model,
                    "version " + old.version + " leaves " + w.agents[i].view->name + ": version " +
                        m->version() +
                        (replaced ? " serves" : " is declared, and the old one is not loaded"));
            }
        }
    }
}

// Frees memory for `target` on one agent by removing replicas of models that other agents serve
// too: assigned replicas that are not a model's only one, or old versions of the target's model.
bool free_memory_for(workspace& w, const model_version& target) {
    for (std::size_t i = 0; i < w.agents.size(); ++i) {
        working_agent& a = w.agents[i];
        if (a.view->leaving || a.view->memory_mb < size_of(w, target)) {
            continue;
        }
        std::vector<model_version> victims;
        std::uint64_t available_mb = free_mb(a);
        for (const model_version& held : a.assigned) {
            const schema::model* m = find_model(w, held.model);
            const bool old_version = held.model == target.model && held != target;
            const bool spare = m != nullptr && held.version == m->version() &&
                               assigned_count(w, held) > 1 && held.model != target.model;
            if ((old_version || spare) && serving_count(w, held.model) > 1 &&
                available_mb < size_of(w, target)) {
                victims.push_back(held);
                available_mb += size_of(w, held);
            }
        }
        if (available_mb < size_of(w, target) || victims.empty()) {
            continue;
        }
        for (const model_version& victim : victims) {
            unassign(w, i, victim);
            add_decision(w, victim.model,
                         "version " + victim.version + " leaves " + a.view->name +
                             ": frees memory for " + target.model +
                             ", other replicas serve the model");
        }
        return true;
    }
    return false;
}

// True if `target` fits on an agent once its resident but unassigned models are unloaded.
bool memory_being_released(const workspace& w, const model_version& target) {
    return std::any_of(w.agents.begin(), w.agents.end(), [&](const working_agent& a) {
        std::uint64_t available_mb = free_mb(a);
        for (const model_version& r : a.resident) {
            available_mb += a.assigned.contains(r) ? 0 : size_of(w, r);
        }
        return !a.view->leaving && !a.assigned.contains(target) &&
               available_mb >= size_of(w, target);
    });
}

// Adds replicas of `need` up to `count`. With `required`, frees memory if no agent has enough.
void scale_up(workspace& w, const model_need& need, std::uint32_t count, bool required,
              std::string_view reason) {
    std::uint32_t have = assigned_count(w, need.target);
    while (have < count) {
        const std::optional<std::size_t> agent = best_agent(w, need.target);
        if (agent) {
            assign(w, *agent, need.target);
            add_decision(w, need.target.model,
                         "version " + need.target.version + " assigned to " +
                             w.agents[*agent].view->name + " (" +
                             w.agents[*agent].view->failure_domain + "): " + std::string(reason));
            ++have;
            continue;
        }
        const bool waiting =
            required && (memory_being_released(w, need.target) || free_memory_for(w, need.target));
        if (required) {
            add_decision(w, need.target.model,
                         waiting ? "waiting for memory to be released"
                                 : "no agent has enough free memory for " +
                                       std::to_string(size_of(w, need.target)) + " MB");
        }
        return;
    }
}

// Removes replicas above `wanted`, first from the failure domain with the most replicas.
void scale_down(workspace& w, const model_need& need) {
    std::uint32_t have = assigned_count(w, need.target);
    while (have > need.wanted) {
        const std::map<std::string, int> domains = replicas_by_domain(w, need.target);
        std::optional<std::size_t> victim;
        for (const std::size_t i : holders_of(w, need.target.model)) {
            const working_agent& a = w.agents[i];
            if (!a.assigned.contains(need.target)) {
                continue;
            }
            if (serves(w, i, need.target) && serving_count(w, need.target.model) < 2) {
                continue;
            }
            if (!victim || domains.at(a.view->failure_domain) >
                               domains.at(w.agents[*victim].view->failure_domain)) {
                victim = i;
            }
        }
        if (!victim) {
            return;
        }
        unassign(w, *victim, need.target);
        add_decision(w, need.target.model,
                     "leaves " + w.agents[*victim].view->name + ": " + std::to_string(need.wanted) +
                         " replicas are sufficient");
        --have;
    }
}

// Removes a leaving agent's replicas that do not serve, or whose model is served by others too.
void drain_leaving(workspace& w) {
    for (std::size_t i = 0; i < w.agents.size(); ++i) {
        if (!w.agents[i].view->leaving) {
            continue;
        }
        const std::set<model_version> held = w.agents[i].assigned;
        for (const model_version& h : held) {
            const bool serving = serves(w, i, h);
            if (!serving || serving_count(w, h.model) > 1) {
                unassign(w, i, h);
            }
        }
    }
}

std::vector<model_need> needs_of(const schema::document& d, const demand_by_model& demand,
                                 const workspace& w, const plan_settings& settings,
                                 planner_state& state, time_point now) {
    std::vector<model_need> needs;
    for (const schema::model& m : d.models()) {
        const auto load = demand.find(m.name());
        model_need need{&m, {m.name(), m.version()}, 0};
        need.wanted = wanted_replicas(m, load == demand.end() ? 0.0 : load->second, settings);
        const std::uint32_t have = assigned_count(w, need.target);
        time_point& needed = state.last_needed.try_emplace(m.name(), now).first->second;
        if (need.wanted >= have) {
            needed = now;
        } else if (now - needed < settings.scale_down_after) {
            need.wanted = std::min(have, m.max_replicas());
        }
        needs.push_back(need);
    }
    // Within a priority, the largest models come first because they are the hardest to place.
    std::stable_sort(needs.begin(), needs.end(), [&](const model_need& a, const model_need& b) {
        const auto rank = [](const model_need& n) {
            switch (n.model->priority()) {
                case schema::priority_high:
                    return 0;
                case schema::priority_low:
                    return 2;
                default:
                    return 1;
            }
        };
        if (rank(a) != rank(b)) {
            return rank(a) < rank(b);
        }
        return size_of(w, a.target) > size_of(w, b.target);
    });
    return needs;
}

workspace make_workspace(const schema::document& document, const std::vector<agent_view>& fleet) {
    workspace w;
    for (const schema::model& m : document.models()) {
        w.declared[m.name()] = {&m, document::footprint_mb(m)};
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        const agent_view& view = fleet[i];
        working_agent a;
        a.view = &view;
        a.assigned = {view.assigned.begin(), view.assigned.end()};
        a.resident = {view.resident.begin(), view.resident.end()};
        std::set<model_version> all = a.assigned;
        all.insert(a.resident.begin(), a.resident.end());
        for (const model_version& held : all) {
            a.used_mb += size_of(w, held);
            w.holders[held.model].insert(i);
        }
        w.agents.push_back(std::move(a));
    }
    return w;
}

void collect_results(workspace& w) {
    for (const working_agent& a : w.agents) {
        if (a.changed) {
            w.out.changes.push_back(
                {a.view->name, a.view->incarnation, {a.assigned.begin(), a.assigned.end()}});
        }
    }
    for (const model_need& need : w.needs) {
        if (holders_of(w, need.target.model).empty()) {
            w.out.unplaced.push_back(need.target.model);
        }
    }
}

bool is_resident(const std::vector<agent_view>& fleet, const std::string& model) {
    return std::any_of(fleet.begin(), fleet.end(), [&](const agent_view& a) {
        return std::any_of(a.resident.begin(), a.resident.end(),
                           [&](const model_version& r) { return r.model == model; });
    });
}

// Applies a plan to `fleet` as if every load and unload succeeded. Returns the number of loads.
std::uint32_t apply_plan(const plan_result& p, std::vector<agent_view>& fleet) {
    std::uint32_t loads = 0;
    for (const assignment& change : p.changes) {
        const auto at = std::find_if(fleet.begin(), fleet.end(),
                                     [&](const agent_view& a) { return a.name == change.agent; });
        at->assigned = change.assigned;
    }
    for (agent_view& a : fleet) {
        for (const model_version& i : a.assigned) {
            loads += std::find(a.resident.begin(), a.resident.end(), i) == a.resident.end();
        }
        a.resident = a.assigned;
    }
    return loads;
}

std::uint32_t replicas_of(const std::vector<agent_view>& fleet, const model_version& target) {
    return static_cast<std::uint32_t>(
        std::count_if(fleet.begin(), fleet.end(), [&](const agent_view& a) {
            return !a.leaving &&
                   std::find(a.resident.begin(), a.resident.end(), target) != a.resident.end();
        }));
}

std::string missing_replicas(const schema::document& d, const std::vector<agent_view>& fleet) {
    for (const schema::model& m : d.models()) {
        const std::uint32_t have = replicas_of(fleet, {m.name(), m.version()});
        if (have < m.min_replicas()) {
            return "model `" + m.name() + "` needs " + std::to_string(m.min_replicas()) +
                   " replicas of " + std::to_string(document::footprint_mb(m)) + " MB, " +
                   std::to_string(have) + " fit";
        }
    }
    return "";
}

// Describes the first agent whose resident models exceed its memory by the sizes that `d` declares;
// a document may declare another size for a version that is already loaded. Empty if there is none.
std::string overcommitted_agent(const schema::document& d, const std::vector<agent_view>& fleet) {
    for (const agent_view& a : fleet) {
        std::uint64_t used = 0;
        for (const model_version& i : a.resident) {
            const schema::model* m = document::find_model(d, i.model);
            used += m == nullptr ? 0 : document::footprint_mb(*m);
        }
        if (used > a.memory_mb) {
            return "agent `" + a.name + "` has " + std::to_string(a.memory_mb) +
                   " MB, its models would need " + std::to_string(used) + " MB";
        }
    }
    return "";
}

}  // namespace

std::uint32_t wanted_replicas(const schema::model& m, double load, const plan_settings& settings) {
    const double needed_replicas = std::ceil(load / settings.target_utilization);
    const double bounded = std::clamp(needed_replicas, static_cast<double>(m.min_replicas()),
                                      static_cast<double>(m.max_replicas()));
    return static_cast<std::uint32_t>(bounded);
}

plan_result plan(const schema::document& document, const std::vector<agent_view>& fleet,
                 const demand_by_model& demand, const plan_settings& settings, planner_state& state,
                 time_point now) {
    workspace w = make_workspace(document, fleet);
    drop_obsolete(w);
    w.needs = needs_of(document, demand, w, settings, state, now);
    for (const model_need& need : w.needs) {
        scale_up(w, need, 1, true, "first replica of a declared model");
    }
    for (const model_need& need : w.needs) {
        scale_up(w, need, need.model->min_replicas(), true, "declared minimum of replicas");
    }
    for (const model_need& need : w.needs) {
        scale_up(w, need, need.wanted, false, "demand");
    }
    for (const model_need& need : w.needs) {
        scale_down(w, need);
    }
    drain_leaving(w);
    collect_results(w);
    return std::move(w.out);
}

trial_result try_document(const schema::document& current, const schema::document& next,
                          std::vector<agent_view> fleet) {
    trial_result out;
    planner_state state;
    for (int step = 0; step < max_trial_steps; ++step) {
        const std::vector<agent_view> before = fleet;
        const plan_result p = plan(next, fleet, {}, {}, state, time_point{});
        if (p.changes.empty()) {
            out.reason = missing_replicas(next, fleet);
            if (out.reason.empty()) {
                out.reason = overcommitted_agent(next, fleet);
            }
            out.fits = out.reason.empty();
            return out;
        }
        out.loads += apply_plan(p, fleet);
        for (const schema::model& m : next.models()) {
            const bool served =
                document::find_model(current, m.name()) != nullptr && is_resident(before, m.name());
            if (served && !is_resident(fleet, m.name())) {
                out.reason = "model `" + m.name() + "` would be unreachable during the change";
                return out;
            }
        }
    }
    out.reason =
        "the change does not converge within " + std::to_string(max_trial_steps) + " steps";
    return out;
}

}  // namespace burdockdeck::placement
