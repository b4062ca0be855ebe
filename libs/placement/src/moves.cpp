// Local search: repeatedly chooses the move that reduces the total cost of the engines' utilization
// most.
#include "placement/moves.h"

#include <algorithm>
#include <cmath>
#include <limits>

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

// Change of the objective if a copy of `model` is added or removed at `engine`. `copies` is the
// number of copies afterwards. Stores the resulting utilizations in `changed`.
double redistribute(const plan_state& p, const std::string& model, std::size_t copies,
                    std::size_t engine, bool added, std::map<std::size_t, double>& changed) {
    const double own_capacity = p.f.engines[engine].capacity;
    const double capacity = capacity_of(p, model) + (added ? own_capacity : -own_capacity);
    const double before = utilization_from(p, model);
    const double after = copies == 0 ? 0 : utilization_from(p, model, capacity);
    double sum = 0;
    const auto adjust = [&](std::size_t i, bool holds, bool will_hold) {
        const auto known = changed.find(i);
        const double old = known == changed.end() ? p.utilization[i] : known->second;
        const double updated = old - (holds ? before : 0) + (will_hold ? after : 0);
        sum += p.f.engines[i].capacity * (cost_of(updated) - cost_of(old));
        changed[i] = updated;
    };
    bool holds_already = false;
    for (const std::size_t i : holders_of(p, model)) {
        holds_already = holds_already || i == engine;
        adjust(i, true, i != engine || added);
    }
    if (added && !holds_already) {
        adjust(engine, false, true);
    }
    return sum;
}

bool recently_loaded(const plan_state& p, std::size_t engine, const std::string& model) {
    const auto found = p.m.loaded_at.find({p.f.engines[engine].id, model});
    return found != p.m.loaded_at.end() && p.now - found->second < p.s.min_residency;
}

// True if the model is requested and no engine holds it or is about to.
bool is_missing(const plan_state& p, const std::string& model) {
    const model_demand d = demand_of(p.f, model);
    return copies_of(p, model) == 0 && (d.unplaced || d.engines > idle_demand);
}

// A copy of a model in demand may be unloaded only if the copies at other engines that serve now,
// and will still be held after the pending orders, can take its load. For a model that is missing
// it is enough that another copy serves: requests at a crowded copy wait, the others are refused.
bool can_unload(const plan_state& p, std::size_t engine, const std::string& model,
                bool for_missing) {
    const double engines = demand_of(p.f, model).engines;
    if (engines <= idle_demand) {
        return true;
    }
    double remaining = 0;
    for (const std::size_t i : holders_of(p, model)) {
        const engine_state& e = p.f.engines[i];
        remaining += e.models.contains(model) && i != engine ? e.capacity : 0;
    }
    return remaining > 0 && (for_missing || engines / remaining <= max_demand_per_copy);
}

struct candidate {
    std::size_t engine = 0;
    std::string model;
    std::vector<std::string> victims;
    double gain = 0;
    bool from_store = false;
};

// Improvement of the objective by the candidate, after the cost of its loads and unloads.
double gain_of(const plan_state& p, const candidate& c) {
    std::map<std::size_t, double> changed;
    double change = 0;
    for (const std::string& victim : c.victims) {
        const std::size_t copies = copies_of(p, victim);
        change += redistribute(p, victim, copies - 1, c.engine, false, changed) + unload_cost;
        change += copies == 1 ? presence_value(p, victim) : 0;
    }
    const std::size_t copies = copies_of(p, c.model);
    change += redistribute(p, c.model, copies + 1, c.engine, true, changed);
    change += c.from_store ? store_load_cost : local_load_cost;
    if (copies == 0) {
        const duration wait = load_time(p.f, p.f.engines[c.engine], c.model) +
                              (c.victims.empty() ? duration::zero() : swap_overhead);
        change -= presence_value(p, c.model);
        change += (is_missing(p, c.model) ? demanded_wait_cost_per_s : idle_wait_cost_per_s) *
                  to_seconds(wait);
    }
    return -change;
}

// Sets of one or two models whose unloading frees at least `needed` megabytes.
std::vector<std::vector<std::string>> victim_sets(const plan_state& p, std::size_t engine,
                                                  double needed, bool for_missing) {
    std::vector<std::string> movable;
    for (const std::string& model : p.f.engines[engine].models) {
        const bool settled = for_missing || !recently_loaded(p, engine, model);
        if (settled && can_unload(p, engine, model, for_missing)) {
            movable.push_back(model);
        }
    }
    std::vector<std::vector<std::string>> sets;
    for (std::size_t i = 0; i < movable.size(); ++i) {
        if (size_of(p.f, movable[i]) >= needed) {
            sets.push_back({movable[i]});
        }
        for (std::size_t k = i + 1; k < movable.size(); ++k) {
            const double both = size_of(p.f, movable[i]) + size_of(p.f, movable[k]);
            if (both >= needed && size_of(p.f, movable[i]) < needed &&
                size_of(p.f, movable[k]) < needed) {
                sets.push_back({movable[i], movable[k]});
            }
        }
    }
    return sets;
}

void consider(const plan_state& p, candidate c, candidate& best) {
    c.gain = gain_of(p, c);
    if (c.gain > best.gain) {
        best = std::move(c);
    }
}

// Engines that may get an order, those with most spare capacity first.
std::vector<std::size_t> engines_by_spare_capacity(const plan_state& p) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < p.held.size(); ++i) {
        if (!p.unavailable.contains(i)) {
            out.push_back(i);
        }
    }
    const auto spare = [&](std::size_t i) {
        return p.f.engines[i].capacity * (1 - p.utilization[i]);
    };
    std::stable_sort(out.begin(), out.end(),
                     [&](std::size_t a, std::size_t b) { return spare(a) > spare(b); });
    return out;
}

candidate best_candidate(const plan_state& p) {
    candidate best;
    const bool store_available = store_allows_load(p);
    const std::vector<std::size_t> by_spare_capacity = engines_by_spare_capacity(p);
    for (const auto& [model, size] : p.f.models) {
        const bool wanted = copies_of(p, model) == 0 ? presence_value(p, model) > 0
                                                     : utilization_from(p, model) > p.s.busy_share;
        if (!wanted) {
            continue;
        }
        // Loading from the store takes longer than waiting for the pending order of an engine whose
        // host has the weights.
        const bool wait_for_local_weights =
            copies_of(p, model) == 0 && fits_with_local_weights(p, model);
        const bool missing = is_missing(p, model);
        std::size_t considered = 0;
        for (const std::size_t i : by_spare_capacity) {
            const bool from_store = !p.f.engines[i].local_weights.contains(model);
            if (p.held[i].contains(model) ||
                (from_store && (wait_for_local_weights || !store_available))) {
                continue;
            }
            if (++considered > max_engines_considered) {
                break;
            }
            const double needed = size.weights_mb - free_memory_mb(p, i);
            if (needed <= 0) {
                consider(p, {i, model, {}, 0, from_store}, best);
                continue;
            }
            for (auto& victims : victim_sets(p, i, needed, missing)) {
                consider(p, {i, model, std::move(victims), 0, from_store}, best);
            }
        }
    }
    return best;
}

void apply(plan_state& p, const candidate& c) {
    std::map<std::size_t, double> changed;
    for (const std::string& victim : c.victims) {
        (void)redistribute(p, victim, copies_of(p, victim) - 1, c.engine, false, changed);
        note_unload(p, c.engine, victim);
    }
    (void)redistribute(p, c.model, copies_of(p, c.model) + 1, c.engine, true, changed);
    note_load(p, c.engine, c.model, c.from_store);
    for (const auto& [engine, utilization] : changed) {
        p.utilization[engine] = utilization;
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
        // First copies of models are exempt from the limit on pending orders: without one, requests
        // cannot be served at all.
        const bool urgent = copies_of(p, best.model) == 0;
        if (best.gain <= 0 || (!urgent && pending + moves.size() - begun >= max_orders)) {
            break;
        }
        const std::string& engine = f.engines[best.engine].id;
        const std::string reason = "for " + best.model + ", gain " + std::to_string(best.gain);
        if (best.victims.empty()) {
            moves.push_back({engine, move_kind::load, best.model, best.from_store, reason});
        } else {
            const reserved_load next{
                best.model, {best.victims.begin() + 1, best.victims.end()}, now};
            moves.push_back({engine, move_kind::unload, best.victims.front(), false, reason, next});
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
