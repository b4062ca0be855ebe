// Local search: repeatedly chooses the move that reduces the total cost of the engines' utilization
// most.
#include "placement/moves.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

#include "fill.h"
#include "plan_state.h"

namespace burdockdeck::placement {

namespace {

// Cost of an unload; the costs of loads are in plan_state.h.
constexpr double unload_cost = 0.12;
// A model in demand may lose a copy only if each remaining one then serves at most this demand.
constexpr double max_demand_per_copy = 0.45;
// Share of the engines that may have pending orders at the same time.
constexpr double max_ordered_share = 0.34;
// Loads from the store that a new planner may begin in its first window.
constexpr std::size_t initial_store_loads = 3;
// Maximum number of moves per round. More would rely on changes that the first ones have not made
// yet.
constexpr std::size_t max_moves_per_round = 6;
// Engines considered for one more copy of a model, those with most spare capacity first. Limits the
// time of a round to linear in the number of engines instead of quadratic.
constexpr std::size_t max_engines_considered = 16;
// Cost of each second until the first copy of a model in demand can serve, and of a model without
// demand, in the unit of `cost_of`.
constexpr double demanded_wait_cost_per_s = 0.3;
constexpr double idle_wait_cost_per_s = 0.02;
// Time without orders for an engine that refused one: about the duration of a load from its disk.
constexpr duration refusal_backoff = std::chrono::milliseconds(900);

// The utilizations that a candidate changes, by engine. One object serves all candidates of a
// search: `clear` takes constant time.
class utilization_changes {
public:
    explicit utilization_changes(std::size_t engines) : changes_(engines) {}

    void clear() {
        ++round_;
    }
    [[nodiscard]] double get(engine_index engine, double unchanged) const {
        const change& c = changes_[engine];
        return c.round == round_ ? c.utilization : unchanged;
    }
    void set(engine_index engine, double utilization) {
        changes_[engine] = {round_, utilization};
    }

private:
    struct change {
        std::uint64_t round = 0;
        double utilization = 0;
    };
    std::uint64_t round_ = 1;
    std::vector<change> changes_;
};

// Change of the objective if a copy of `model` is added or removed at `engine`. `copies` is the
// number of copies afterwards. Stores the resulting utilizations in `changed`.
double redistribute(const plan_state& p, model_index model, std::size_t copies, engine_index engine,
                    bool added, utilization_changes& changed) {
    const planned_model& m = p.models[model];
    const double own_capacity = p.f.engines[engine].capacity;
    const double capacity = m.capacity + (added ? own_capacity : -own_capacity);
    const double before = utilization_from(m);
    const double after = copies == 0 ? 0 : utilization_from(m, capacity);
    double sum = 0;
    const auto adjust = [&](engine_index i, bool holds, bool will_hold) {
        const double old = changed.get(i, p.engines[i].utilization);
        const double updated = old - (holds ? before : 0) + (will_hold ? after : 0);
        sum += p.f.engines[i].capacity * (cost_of(updated) - cost_of(old));
        changed.set(i, updated);
    };
    bool holds_already = false;
    for (const engine_index i : m.holders) {
        holds_already = holds_already || i == engine;
        adjust(i, true, i != engine || added);
    }
    if (added && !holds_already) {
        adjust(engine, false, true);
    }
    return sum;
}

bool recently_loaded(const plan_state& p, engine_index engine, model_index model) {
    const auto found =
        p.m.loaded_at.find({p.f.engines[engine].id, std::string(p.models[model].name)});
    return found != p.m.loaded_at.end() && p.now - found->second < p.s.min_residency;
}

// True if the model is requested and no engine holds it or is about to.
bool is_missing(const planned_model& m) {
    return m.copies == 0 && (m.demand.unplaced || m.demand.engines > idle_demand);
}

// A copy of a model in demand may be unloaded only if the copies at other engines that serve now,
// and will still be held after the pending orders, can take its load. For a model that is missing
// it is enough that another copy serves: requests at a crowded copy wait, the others are refused.
bool can_unload(const plan_state& p, engine_index engine, model_index model, bool for_missing) {
    const double engines = p.models[model].demand.engines;
    if (engines <= idle_demand) {
        return true;
    }
    double remaining = 0;
    for (const engine_index i : p.models[model].holders) {
        const bool serves = p.engines[i].announces[model] && i != engine;
        remaining += serves ? p.f.engines[i].capacity : 0;
    }
    return remaining > 0 && (for_missing || engines / remaining <= max_demand_per_copy);
}

// One or two models to unload.
struct victim_set {
    std::array<model_index, 2> models{};
    std::size_t size = 0;

    [[nodiscard]] const model_index* begin() const {
        return models.data();
    }
    [[nodiscard]] const model_index* end() const {
        return models.data() + size;
    }
};

struct candidate {
    engine_index engine = 0;
    model_index model = 0;
    victim_set victims;
    bool from_store = false;
    double gain = 0;
};

// Improvement of the objective by the candidate, after the cost of its loads and unloads.
double gain_of(const plan_state& p, const candidate& c, utilization_changes& changed) {
    changed.clear();
    double change = 0;
    for (const model_index victim : c.victims) {
        const planned_model& v = p.models[victim];
        change += redistribute(p, victim, v.copies - 1, c.engine, false, changed) + unload_cost;
        change += v.copies == 1 ? presence_value(v) : 0;
    }
    const planned_model& m = p.models[c.model];
    change += redistribute(p, c.model, m.copies + 1, c.engine, true, changed);
    change += c.from_store ? store_load_cost : local_load_cost;
    if (m.copies == 0) {
        const duration wait = load_time(p, c.engine, c.model) +
                              (c.victims.size == 0 ? duration::zero() : swap_overhead);
        change -= presence_value(m);
        change +=
            (is_missing(m) ? demanded_wait_cost_per_s : idle_wait_cost_per_s) * to_seconds(wait);
    }
    return -change;
}

// Models that `engine` may unload now.
std::vector<model_index> movable_models(const plan_state& p, engine_index engine,
                                        bool for_missing) {
    std::vector<model_index> movable;
    for (const model_index model : p.engines[engine].announced) {
        const bool settled = for_missing || !recently_loaded(p, engine, model);
        if (settled && can_unload(p, engine, model, for_missing)) {
            movable.push_back(model);
        }
    }
    return movable;
}

// Calls `visit` with each set of one or two of the `movable` models whose unloading frees at least
// `needed` megabytes.
template <class Visit>
void for_each_victim_set(const plan_state& p, const std::vector<model_index>& movable,
                         double needed, Visit visit) {
    const auto size_at = [&](std::size_t i) { return p.models[movable[i]].profile.weights_mb; };
    for (std::size_t i = 0; i < movable.size(); ++i) {
        if (size_at(i) >= needed) {
            visit(victim_set{{movable[i], 0}, 1});
        }
        for (std::size_t k = i + 1; k < movable.size(); ++k) {
            if (size_at(i) + size_at(k) >= needed && size_at(i) < needed && size_at(k) < needed) {
                visit(victim_set{{movable[i], movable[k]}, 2});
            }
        }
    }
}

// Engines that may get an order, those with most spare capacity first.
std::vector<engine_index> engines_by_spare_capacity(const plan_state& p) {
    std::vector<engine_index> out;
    for (engine_index i = 0; i < p.engines.size(); ++i) {
        if (p.engines[i].available) {
            out.push_back(i);
        }
    }
    const auto spare = [&](engine_index i) {
        return p.f.engines[i].capacity * (1 - p.engines[i].utilization);
    };
    std::stable_sort(out.begin(), out.end(),
                     [&](engine_index a, engine_index b) { return spare(a) > spare(b); });
    return out;
}

// What is the same for all candidates of one search. `movable` holds the models that each engine
// may unload, for a model that is missing and for others, as far as they have been asked for.
struct search {
    explicit search(const plan_state& state) : p(state), changed(state.engines.size()) {
        for (auto& movable : movable_models_of) {
            movable.resize(state.engines.size());
        }
    }

    const std::vector<model_index>& movable(engine_index engine, bool for_missing) {
        auto& known = movable_models_of[for_missing ? 1 : 0][engine];
        if (!known) {
            known = movable_models(p, engine, for_missing);
        }
        return *known;
    }

    const plan_state& p;
    utilization_changes changed;
    std::array<std::vector<std::optional<std::vector<model_index>>>, 2> movable_models_of;
};

candidate best_candidate(const plan_state& p) {
    candidate best;
    search searched(p);
    const auto consider = [&](candidate c) {
        c.gain = gain_of(p, c, searched.changed);
        if (c.gain > best.gain) {
            best = c;
        }
    };
    const bool store_available = store_allows_load(p);
    const std::vector<engine_index> by_spare_capacity = engines_by_spare_capacity(p);
    for (model_index model = 0; model < p.models.size(); ++model) {
        const planned_model& m = p.models[model];
        const bool wanted =
            m.copies == 0 ? presence_value(m) > 0 : utilization_from(m) > p.s.busy_share;
        if (!m.declared || !wanted) {
            continue;
        }
        // Loading from the store takes longer than waiting for the pending order of an engine whose
        // host has the weights.
        const bool wait_for_local_weights = m.copies == 0 && fits_with_local_weights(p, model);
        const bool missing = is_missing(m);
        std::size_t considered = 0;
        for (const engine_index i : by_spare_capacity) {
            const planned_engine& e = p.engines[i];
            const bool from_store = !e.has_weights[model];
            if (e.holds[model] || (from_store && (wait_for_local_weights || !store_available))) {
                continue;
            }
            if (++considered > max_engines_considered) {
                break;
            }
            const double needed = m.profile.weights_mb - e.free_memory_mb;
            if (needed <= 0) {
                consider({i, model, {}, from_store});
                continue;
            }
            for_each_victim_set(p, searched.movable(i, missing), needed,
                                [&](const victim_set& victims) {
                                    consider({i, model, victims, from_store});
                                });
        }
    }
    return best;
}

void apply(plan_state& p, const candidate& c) {
    utilization_changes changed(p.engines.size());
    for (const model_index victim : c.victims) {
        (void)redistribute(p, victim, p.models[victim].copies - 1, c.engine, false, changed);
        note_unload(p, c.engine, victim);
    }
    (void)redistribute(p, c.model, p.models[c.model].copies + 1, c.engine, true, changed);
    note_load(p, c.engine, c.model, c.from_store);
    for (engine_index i = 0; i < p.engines.size(); ++i) {
        p.engines[i].utilization = changed.get(i, p.engines[i].utilization);
    }
}

// Orders the next step of each swap whose engine has carried out the last one.
std::vector<move> continue_swaps(plan_state& p) {
    std::vector<move> moves;
    for (std::size_t i = 0; i < p.f.engines.size(); ++i) {
        const engine_state& e = p.f.engines[i];
        const auto found = p.m.reservations.find(e.id);
        const auto refused = p.m.refused_until.find(e.id);
        const bool waits = refused != p.m.refused_until.end() && refused->second > p.now;
        if (found == p.m.reservations.end() || !e.accepting || waits || p.m.orders.contains(e.id)) {
            continue;
        }
        const reserved_load& reserved = found->second;
        const std::string reason = "swap for " + reserved.model;
        if (!reserved.unloads.empty()) {
            reserved_load next = reserved;
            next.unloads.erase(next.unloads.begin());
            moves.push_back(
                {e.id, move_kind::unload, reserved.unloads.front(), false, reason, next});
            continue;
        }
        const bool from_store = !e.local_weights.contains(reserved.model);
        if (from_store && !store_allows_load(p)) {
            continue;
        }
        moves.push_back({e.id, move_kind::load, reserved.model, from_store, reason});
        p.store_loads_in_window += from_store ? 1 : 0;
        p.store_loads_running += from_store ? 1 : 0;
    }
    return moves;
}

// True if the reserved load still makes sense at its engine.
bool is_fulfillable(const fleet_state& f, const engine_state& e, const reserved_load& r,
                    const move_settings& s, time_point now) {
    if (!e.accepting || e.models.contains(r.model) || now - r.at > s.order_timeout) {
        return false;
    }
    double free_mb = e.weights_capacity_mb;
    for (const std::string& model : e.models) {
        const bool unloaded_first =
            std::find(r.unloads.begin(), r.unloads.end(), model) != r.unloads.end();
        free_mb -= unloaded_first ? 0 : size_of(f, model);
    }
    return free_mb >= size_of(f, r.model);
}

}  // namespace

std::vector<move> next_moves(const fleet_state& f, const move_planner_state& m,
                             const move_settings& s, time_point now) {
    plan_state p = state_of(f, m, s, now);
    std::vector<move> moves = continue_swaps(p);
    for (move& filled : fill_empty_engines(p)) {
        moves.push_back(std::move(filled));
    }
    const std::size_t begun = moves.size();
    const auto max_orders = static_cast<std::size_t>(
        std::ceil(max_ordered_share * static_cast<double>(f.engines.size())));
    std::size_t pending = 0;
    for (const engine_state& e : f.engines) {
        const bool busy = m.orders.contains(e.id) || m.reservations.contains(e.id);
        pending += e.accepting && busy ? 1 : 0;
    }
    while (moves.size() - begun < max_moves_per_round) {
        const candidate best = best_candidate(p);
        if (best.gain <= 0) {
            break;
        }
        // First copies of models are exempt from the limit on pending orders: without one, requests
        // cannot be served at all.
        const planned_model& model = p.models[best.model];
        const bool urgent = model.copies == 0;
        if (!urgent && pending + moves.size() - begun >= max_orders) {
            break;
        }
        const std::string& engine = f.engines[best.engine].id;
        const std::string name(model.name);
        const std::string reason = "for " + name + ", gain " + std::to_string(best.gain);
        if (best.victims.size == 0) {
            moves.push_back({engine, move_kind::load, name, best.from_store, reason});
        } else {
            reserved_load next{name, {}, now};
            std::for_each(best.victims.begin() + 1, best.victims.end(), [&](model_index later) {
                next.unloads.emplace_back(p.models[later].name);
            });
            const std::string first(p.models[*best.victims.begin()].name);
            moves.push_back({engine, move_kind::unload, first, false, reason, next});
        }
        apply(p, best);
    }
    return moves;
}

std::map<std::string, time_point> expected_first_copies(const fleet_state& f,
                                                        const move_planner_state& m,
                                                        time_point now) {
    std::set<std::string> served;
    for (const engine_state& e : f.engines) {
        if (e.accepting) {
            served.insert(e.models.begin(), e.models.end());
        }
    }
    std::map<std::string, time_point> out;
    const auto add = [&](const std::string& model, time_point at) {
        if (!served.contains(model)) {
            const auto [known, first] = out.try_emplace(model, at);
            known->second = std::min(known->second, at);
        }
    };
    for (const engine_state& e : f.engines) {
        const auto order = m.orders.find(e.id);
        if (order != m.orders.end() && order->second.ordered.kind == move_kind::load) {
            const std::string& model = order->second.ordered.model;
            add(model, std::max(now, order->second.at + load_time(f, e, model)));
        }
        const auto reserved = m.reservations.find(e.id);
        if (reserved != m.reservations.end()) {
            const std::string& model = reserved->second.model;
            const time_point load_at = std::max(now, reserved->second.at + swap_overhead);
            add(model, load_at + load_time(f, e, model));
        }
    }
    return out;
}

void reconcile_orders(move_planner_state& m, const fleet_state& f, const move_settings& s,
                      time_point now) {
    std::erase_if(m.orders, [&](const auto& item) {
        const std::string& id = item.first;
        const pending_order& order = item.second;
        const auto e = std::find_if(f.engines.begin(), f.engines.end(),
                                    [&](const engine_state& x) { return x.id == id; });
        if (e == f.engines.end()) {
            return true;
        }
        const bool held = e->models.contains(order.ordered.model);
        const bool effect_visible = held == (order.ordered.kind == move_kind::load);
        if (effect_visible && order.ordered.kind == move_kind::load) {
            m.loaded_at[{id, order.ordered.model}] = now;
        }
        return effect_visible || now - order.at > s.order_timeout;
    });
    std::erase_if(m.reservations, [&](const auto& item) {
        const auto e = std::find_if(f.engines.begin(), f.engines.end(),
                                    [&](const engine_state& x) { return x.id == item.first; });
        return e == f.engines.end() ||
               (!m.orders.contains(item.first) && !is_fulfillable(f, *e, item.second, s, now));
    });
    std::erase_if(m.refused_until, [now](const auto& item) { return item.second <= now; });
    while (!m.store_loads.empty() && now - m.store_loads.front() > s.store_window) {
        m.store_loads.pop_front();
    }
}

void record_order(move_planner_state& m, const move& ordered, time_point now) {
    m.orders[ordered.engine] = {ordered, now};
    if (ordered.makes_room_for) {
        m.reservations[ordered.engine] = *ordered.makes_room_for;
    } else {
        m.reservations.erase(ordered.engine);
    }
    if (ordered.from_store) {
        m.store_loads.push_back(now);
    }
}

void record_unanswered_order(move_planner_state& m, const move_settings& s,
                             const std::string& engine, time_point now) {
    const auto found = m.orders.find(engine);
    if (found != m.orders.end()) {
        found->second.at = now - s.order_timeout + s.unanswered_order_timeout;
    }
}

void record_refused_order(move_planner_state& m, const std::string& engine, time_point now) {
    m.orders.erase(engine);
    m.reservations.erase(engine);
    m.refused_until[engine] = now + refusal_backoff;
}

void set_store_rate(move_settings& s, double loads_per_s, duration window) {
    // The planner keeps a record of each load in the window.
    static constexpr double max_loads = 10'000;
    // Loads that run at the same time take as long as those that begin in this time.
    constexpr double concurrency_s = 3;
    const auto to_count = [](double loads) {
        return static_cast<std::uint32_t>(std::clamp(loads, 1.0, max_loads));
    };
    s.store_window = window;
    s.max_store_loads_per_window = to_count(std::floor(loads_per_s * to_seconds(window)));
    s.max_concurrent_store_loads = to_count(std::ceil(loads_per_s * concurrency_s));
}

void begin_planning(move_planner_state& m, const move_settings& s, time_point now) {
    m = {};
    while (m.store_loads.size() + initial_store_loads < s.max_store_loads_per_window) {
        m.store_loads.push_back(now);
    }
}

}  // namespace burdockdeck::placement
