// Local search: the moves that lower the squared utilization of the engines most.
#include "placement/moves.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "fill.h"
#include "plan_state.h"

namespace burdockdeck::placement {

namespace {

// Price of an unload, beside those of loads in plan_state.h.
constexpr double unload_cost = 0.12;
// The most that the copies which stay may have to carry each.
constexpr double bearable = 0.45;
// Share of the engines that may carry out orders at the same time.
constexpr double ordered_share = 0.34;
// Loads that a new planner may begin in its first window.
constexpr std::size_t loads_of_new_planner = 3;
// More would be planned on what the first ones change.
constexpr std::size_t most_moves_a_round = 6;
// Engines that are weighed for one more copy of a model: the least utilized ones, so that a round's
// time grows with the engines and not with their square.
constexpr std::size_t most_considered = 16;
// An engine that refused an order gets none for this long: about a load from its own disk.
constexpr duration refusal_patience = std::chrono::milliseconds(900);

// Change of the objective when the copies of `model` become `copies`, with one added or removed at
// `engine`; adds the changed utilizations to `changed`.
double respread(const plan_state& p, const std::string& model, std::size_t copies,
                std::size_t engine, bool added, std::map<std::size_t, double>& changed) {
    const double engines = demand_of(p.f, model).engines;
    const double before = share_of(p, model);
    const double after = copies == 0 ? 0 : engines / static_cast<double>(copies);
    double sum = 0;
    for (std::size_t i = 0; i < p.held.size(); ++i) {
        const bool holds = p.held[i].contains(model);
        const bool will_hold = i == engine ? added : holds;
        if (!holds && !will_hold) {
            continue;
        }
        const auto known = changed.find(i);
        const double old = known == changed.end() ? p.utilization[i] : known->second;
        const double fresh = old - (holds ? before : 0) + (will_hold ? after : 0);
        sum += cost_of(fresh) - cost_of(old);
        changed[i] = fresh;
    }
    return sum;
}

bool stays(const plan_state& p, std::size_t engine, const std::string& model) {
    const auto found = p.m.loaded.find({p.f.engines[engine].id, model});
    return found != p.m.loaded.end() && p.now - found->second < p.s.least_stay;
}

// Copies that serve now and go on doing so.
std::size_t serving_copies(const plan_state& p, const std::string& model) {
    std::size_t serving = 0;
    for (std::size_t i = 0; i < p.held.size(); ++i) {
        const engine_state& e = p.f.engines[i];
        serving += e.accepting && e.models.contains(model) && p.held[i].contains(model) ? 1 : 0;
    }
    return serving;
}

// A copy that is asked for goes only while others that serve already can carry its work.
bool may_go(const plan_state& p, const std::string& model) {
    const double engines = demand_of(p.f, model).engines;
    if (engines <= idle_demand) {
        return true;
    }
    const double rest = static_cast<double>(serving_copies(p, model)) - 1;
    return rest >= 1 && engines / rest <= bearable;
}

struct candidate {
    std::size_t engine = 0;
    std::string model;
    std::vector<std::string> victims;
    double gain = 0;
    bool from_store = false;
};

// What the candidate improves, its own price taken off.
double gain_of(const plan_state& p, const candidate& c) {
    std::map<std::size_t, double> changed;
    double change = 0;
    for (const std::string& victim : c.victims) {
        const std::size_t copies = copies_of(p, victim);
        change += respread(p, victim, copies - 1, c.engine, false, changed) + unload_cost;
        change += copies == 1 ? presence_of(p, victim) : 0;
    }
    const std::size_t copies = copies_of(p, c.model);
    change += respread(p, c.model, copies + 1, c.engine, true, changed);
    change -= copies == 0 ? presence_of(p, c.model) : 0;
    change += c.from_store ? store_load_cost : copy_load_cost;
    return -change;
}

// Sets of models to unload so that `needed` fits: none, one, or two.
std::vector<std::vector<std::string>> victim_sets(const plan_state& p, std::size_t engine,
                                                  double needed) {
    std::vector<std::string> movable;
    for (const std::string& model : p.f.engines[engine].models) {
        if (!stays(p, engine, model) && may_go(p, model)) {
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

// Engines that may get an order, the least utilized first.
std::vector<std::size_t> engines_by_utilization(const plan_state& p) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < p.held.size(); ++i) {
        if (!p.used.contains(i)) {
            out.push_back(i);
        }
    }
    std::stable_sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
        return p.utilization[a] < p.utilization[b];
    });
    return out;
}

candidate best_candidate(const plan_state& p) {
    candidate best;
    const bool store_open = store_is_open(p);
    const std::vector<std::size_t> by_load = engines_by_utilization(p);
    for (const auto& [model, size] : p.f.models) {
        const bool wanted = copies_of(p, model) == 0 ? presence_of(p, model) > 0
                                                     : share_of(p, model) > p.s.busy_share;
        if (!wanted) {
            continue;
        }
        // A load from the store takes longer than the order that holds up such an engine.
        const bool waits = copies_of(p, model) == 0 && fits_beside_its_copy(p, model);
        std::size_t considered = 0;
        for (const std::size_t i : by_load) {
            const bool from_store = !p.f.engines[i].local_weights.contains(model);
            if (p.held[i].contains(model) || (from_store && (waits || !store_open))) {
                continue;
            }
            if (++considered > most_considered) {
                break;
            }
            const double needed = size.weights_mb - free_room(p, i);
            if (needed <= 0) {
                consider(p, {i, model, {}, 0, from_store}, best);
                continue;
            }
            for (auto& victims : victim_sets(p, i, needed)) {
                consider(p, {i, model, std::move(victims), 0, from_store}, best);
            }
        }
    }
    return best;
}

void apply(plan_state& p, const candidate& c) {
    std::map<std::size_t, double> changed;
    for (const std::string& victim : c.victims) {
        (void)respread(p, victim, copies_of(p, victim) - 1, c.engine, false, changed);
        --p.copies[victim];
        p.held[c.engine].erase(victim);
    }
    (void)respread(p, c.model, copies_of(p, c.model) + 1, c.engine, true, changed);
    note_load(p, c.engine, c.model, c.from_store);
    for (const auto& [engine, utilization] : changed) {
        p.utilization[engine] = utilization;
    }
}

}  // namespace

std::vector<move> next_moves(const fleet_state& f, const move_planner_state& m,
                             const move_settings& s, time_point now) {
    plan_state p = state_of(f, m, s, now);
    std::vector<move> moves = fill_empty_engines(p);
    const std::size_t filled = moves.size();
    const auto most_orders =
        static_cast<std::size_t>(std::ceil(ordered_share * static_cast<double>(f.engines.size())));
    std::size_t under_way = 0;
    for (const engine_state& e : f.engines) {
        under_way += e.accepting && m.orders.contains(e.id) ? 1 : 0;
    }
    while (moves.size() - filled < most_moves_a_round) {
        const candidate best = best_candidate(p);
        // What nobody can be served by goes ahead of what only spreads work.
        const bool urgent = copies_of(p, best.model) == 0;
        if (best.gain <= 0 || (!urgent && under_way + moves.size() - filled >= most_orders)) {
            break;
        }
        const std::string& engine = f.engines[best.engine].id;
        const std::string why = "for " + best.model + ", gain " + std::to_string(best.gain);
        if (best.victims.empty()) {
            moves.push_back({engine, move_kind::load, best.model, best.from_store, why});
        } else {
            // The load follows once the room is free.
            moves.push_back({engine, move_kind::unload, best.victims.front(), false, why});
        }
        apply(p, best);
    }
    return moves;
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
        const bool shows = held == (order.ordered.kind == move_kind::load);
        if (shows && order.ordered.kind == move_kind::load) {
            m.loaded[{id, order.ordered.model}] = now;
        }
        return shows || now - order.at > s.order_patience;
    });
    std::erase_if(m.refused_until, [now](const auto& item) { return item.second <= now; });
    while (!m.store_loads.empty() && now - m.store_loads.front() > s.store_window) {
        m.store_loads.pop_front();
    }
}

void record_order(move_planner_state& m, const move& ordered, time_point now) {
    m.orders[ordered.engine] = {ordered, now};
    if (ordered.from_store) {
        m.store_loads.push_back(now);
    }
}

void record_unanswered_order(move_planner_state& m, const move_settings& s,
                             const std::string& engine, time_point now) {
    const auto found = m.orders.find(engine);
    if (found != m.orders.end()) {
        found->second.at = now - s.order_patience + s.unanswered_patience;
    }
}

void record_refused_order(move_planner_state& m, const std::string& engine, time_point now) {
    m.orders.erase(engine);
    m.refused_until[engine] = now + refusal_patience;
}

void begin_planning(move_planner_state& m, const move_settings& s, time_point now) {
    m = {};
    while (m.store_loads.size() + loads_of_new_planner < s.max_store_loads_per_window) {
        m.store_loads.push_back(now);
    }
}

}  // namespace burdockdeck::placement
