// Greedy rounds: the most pressing model gets the cheapest place.
#include "placement/moves.h"

#include <algorithm>
#include <limits>

namespace burdockdeck::placement {

namespace {

// Pressure of a model that requests found nowhere, and of a declared one that nobody asked for.
constexpr double unplaced_pressure = 1000;
constexpr double absent_pressure = 1.0;
// Weight of an engine's present work against the price of a load from the store.
constexpr double load_weight = 15;
constexpr double store_cost = 10;
constexpr double unload_cost = 3;
// Demand under this share of an engine does not keep a last copy from going.
constexpr double idle_demand = 0.02;
// Loads that a new planner may begin in its first window.
constexpr std::size_t loads_of_new_planner = 3;

struct round {
    const fleet_state& f;
    const move_memory& m;
    const move_settings& s;
    time_point now;
    std::set<std::string> used;
    std::uint32_t store_begun = 0;
    std::uint32_t store_running = 0;
};

double size_of(const fleet_state& f, const std::string& model) {
    const auto found = f.models.find(model);
    return found == f.models.end() ? 0 : found->second.weights_mb;
}

model_demand demand_of(const fleet_state& f, const std::string& model) {
    const auto found = f.demand.find(model);
    return found == f.demand.end() ? model_demand{} : found->second;
}

const move* order_at(const move_memory& m, const std::string& engine) {
    const auto found = m.orders.find(engine);
    return found == m.orders.end() ? nullptr : &found->second.ordered;
}

// Copies that accept work, or will soon.
std::size_t copies_of(const round& r, const std::string& model) {
    std::size_t copies = 0;
    for (const engine_state& e : r.f.engines) {
        if (!e.accepting) {
            continue;
        }
        const move* order = order_at(r.m, e.id);
        const bool about_it = order != nullptr && order->model == model;
        const bool loading = about_it && order->kind == move_kind::load;
        const bool unloading = about_it && order->kind == move_kind::unload;
        copies += (e.models.contains(model) || loading) && !unloading ? 1 : 0;
    }
    return copies;
}

double pressure(const round& r, const std::string& model, std::size_t copies) {
    const model_demand d = demand_of(r.f, model);
    if (copies == 0) {
        if (d.unplaced || d.engines > 0) {
            return unplaced_pressure + d.engines;
        }
        return d.expected && !d.elsewhere ? absent_pressure : 0;
    }
    return d.engines / static_cast<double>(copies);
}

double free_room(const round& r, const engine_state& e) {
    double room = e.room_mb;
    for (const std::string& model : e.models) {
        room -= size_of(r.f, model);
    }
    return room;
}

bool stays(const round& r, const engine_state& e, const std::string& model) {
    const auto found = r.m.loaded.find({e.id, model});
    return found != r.m.loaded.end() && r.now - found->second < r.s.least_stay;
}

// The model at `e` that is missed least; empty if none may go for one under `wanted` pressure.
std::optional<std::string> victim_at(const round& r, const engine_state& e, double wanted) {
    std::optional<std::string> victim;
    double least = std::numeric_limits<double>::max();
    for (const std::string& model : e.models) {
        if (stays(r, e, model)) {
            continue;
        }
        const std::size_t copies = copies_of(r, model);
        const model_demand d = demand_of(r.f, model);
        double loss = pressure(r, model, copies > 1 ? copies - 1 : 1);
        if (copies <= 1) {
            // The last copy goes only for demand that has none, and only while nobody asks for it.
            const bool needed = d.engines > idle_demand || (d.expected && !d.elsewhere);
            if (needed && (wanted < unplaced_pressure || d.engines > idle_demand)) {
                continue;
            }
            loss += d.elsewhere ? 0 : absent_pressure;
        }
        if (loss < least) {
            least = loss;
            victim = model;
        }
    }
    if (!victim || least * r.s.worth_factor > wanted) {
        return std::nullopt;
    }
    return victim;
}

bool store_allows(const round& r) {
    return r.store_begun < r.s.store_per_window && r.store_running < r.s.store_at_once;
}

// How dear a load of `model` at `e` is; negative if it cannot be there.
double cost_at(const round& r, const engine_state& e, const std::string& model, double wanted) {
    const bool usable =
        e.accepting && !r.used.contains(e.id) && !order_at(r.m, e.id) && !e.models.contains(model);
    if (!usable) {
        return -1;
    }
    double cost = 0;
    if (!e.copies.contains(model)) {
        if (!store_allows(r)) {
            return -1;
        }
        cost += store_cost;
    }
    if (free_room(r, e) < size_of(r.f, model)) {
        const auto victim = victim_at(r, e, wanted);
        if (!victim) {
            return -1;
        }
        cost += unload_cost + pressure(r, *victim, copies_of(r, *victim));
    }
    for (const std::string& held : e.models) {
        cost += load_weight * pressure(r, held, std::max<std::size_t>(1, copies_of(r, held)));
    }
    return cost;
}

std::optional<move> place(round& r, const std::string& model, double wanted) {
    const engine_state* best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (const engine_state& e : r.f.engines) {
        const double cost = cost_at(r, e, model, wanted);
        if (cost >= 0 && cost < least) {
            least = cost;
            best = &e;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    r.used.insert(best->id);
    const std::string why = "for " + model + ", pressure " + std::to_string(wanted);
    if (free_room(r, *best) < size_of(r.f, model)) {
        return move{best->id, move_kind::unload, *victim_at(r, *best, wanted), false, why};
    }
    const bool from_store = !best->copies.contains(model);
    r.store_begun += from_store ? 1 : 0;
    r.store_running += from_store ? 1 : 0;
    return move{best->id, move_kind::load, model, from_store, why};
}

}  // namespace

std::vector<move> next_moves(const fleet_state& f, const move_memory& m, const move_settings& s,
                             time_point now) {
    round r{f, m, s, now, {}, 0, 0};
    r.store_begun = static_cast<std::uint32_t>(m.store_loads.size());
    for (const auto& [engine, order] : m.orders) {
        r.store_running += order.ordered.from_store ? 1 : 0;
    }
    std::vector<std::pair<double, std::string>> pressing;
    for (const auto& [model, size] : f.models) {
        const double p = pressure(r, model, copies_of(r, model));
        if (p > s.busy_share) {
            pressing.emplace_back(p, model);
        }
    }
    std::sort(pressing.rbegin(), pressing.rend());
    std::vector<move> moves;
    for (const auto& [p, model] : pressing) {
        if (auto placed = place(r, model, p)) {
            moves.push_back(std::move(*placed));
        }
    }
    return moves;
}

void settle(move_memory& m, const fleet_state& f, const move_settings& s, time_point now) {
    std::erase_if(m.orders, [&](const auto& item) {
        const auto& [id, order] = item;
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
    while (!m.store_loads.empty() && now - m.store_loads.front() > s.store_window) {
        m.store_loads.pop_front();
    }
}

void note_ordered(move_memory& m, const move& ordered, time_point now) {
    m.orders[ordered.engine] = {ordered, now};
    if (ordered.from_store) {
        m.store_loads.push_back(now);
    }
}

void note_refused(move_memory& m, const std::string& engine) {
    m.orders.erase(engine);
}

void begin_planning(move_memory& m, const move_settings& s, time_point now) {
    m = {};
    while (m.store_loads.size() + loads_of_new_planner < s.store_per_window) {
        m.store_loads.push_back(now);
    }
}

}  // namespace burdockdeck::placement
