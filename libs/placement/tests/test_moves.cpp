// Tests of the move planner: engine memory, the weight store's load rate, reachability of models,
// and no needless moves.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <ctime>
#include <random>

#include "placement/moves.h"

using namespace burdockdeck;
using namespace burdockdeck::placement;

namespace {

const time_point start{std::chrono::seconds(1000)};

fleet_state fleet(std::size_t engines, std::size_t models) {
    fleet_state f;
    for (std::size_t i = 0; i < engines; ++i) {
        engine_state e;
        e.id = "e" + std::to_string(i);
        e.weights_capacity_mb = 200'000;
        f.engines.push_back(e);
    }
    for (std::size_t i = 0; i < models; ++i) {
        f.models["m" + std::to_string(i)] = {72'700};
    }
    return f;
}

double held_mb(const fleet_state& f, const engine_state& e) {
    double sum = 0;
    for (const std::string& m : e.models) {
        sum += f.models.at(m).weights_mb;
    }
    return sum;
}

// Simulated engines that carry out orders with a delay. Checks each order against the engine's
// memory and the store's rate limit.
struct simulated_fleet {
    fleet_state f;
    move_planner_state state;
    move_settings s;
    std::vector<std::pair<time_point, move>> pending;
    std::vector<time_point> store_loads;
    std::size_t loads = 0;

    void run(time_point from, duration length) {
        const duration step = std::chrono::milliseconds(250);
        for (time_point t = from; t < from + length; t += step) {
            finish(t);
            reconcile_orders(state, f, s, t);
            for (const move& m : next_moves(f, state, s, t)) {
                order(m, t);
            }
        }
    }

    engine_state& engine(const std::string& id) {
        return *std::find_if(f.engines.begin(), f.engines.end(),
                             [&](const engine_state& e) { return e.id == id; });
    }

    void order(const move& m, time_point t) {
        engine_state& e = engine(m.engine);
        REQUIRE(state.orders.count(m.engine) == 0);
        record_order(state, m, t);
        duration completion_delay = std::chrono::milliseconds(300);
        if (m.kind == move_kind::load) {
            ++loads;
            REQUIRE(held_mb(f, e) + f.models.at(m.model).weights_mb <= e.weights_capacity_mb);
            completion_delay =
                std::chrono::milliseconds(e.local_weights.count(m.model) != 0 ? 800 : 4200);
            REQUIRE(m.from_store == (e.local_weights.count(m.model) == 0));
        }
        if (m.from_store) {
            store_loads.push_back(t);
            const auto recent = std::count_if(store_loads.begin(), store_loads.end(),
                                              [&](auto at) { return t - at < s.store_window; });
            REQUIRE(recent <= s.max_store_loads_per_window);
        }
        pending.emplace_back(t + completion_delay, m);
    }

    void finish(time_point t) {
        std::erase_if(pending, [&](const auto& item) {
            if (item.first > t) {
                return false;
            }
            engine_state& e = engine(item.second.engine);
            if (item.second.kind == move_kind::load) {
                e.models.insert(item.second.model);
                e.local_weights.insert(item.second.model);
            } else {
                e.models.erase(item.second.model);
            }
            return true;
        });
    }

    std::size_t copies(const std::string& model) const {
        return static_cast<std::size_t>(
            std::count_if(f.engines.begin(), f.engines.end(),
                          [&](const engine_state& e) { return e.models.count(model) != 0; }));
    }
};

}  // namespace

TEST_CASE("every declared model becomes reachable, then no further loads are ordered") {
    simulated_fleet sim{fleet(12, 20), {}, {}, {}, {}, 0};
    sim.run(start, std::chrono::seconds(60));
    for (const auto& [name, size] : sim.f.models) {
        CHECK(sim.copies(name) >= 1);
    }
    const std::size_t before = sim.loads;
    sim.run(start + std::chrono::seconds(60), std::chrono::seconds(60));
    CHECK(sim.loads == before);
}

TEST_CASE("busy models get more copies") {
    simulated_fleet sim{fleet(12, 12), {}, {}, {}, {}, 0};
    sim.f.demand["m0"] = {2.0, false};
    sim.run(start, std::chrono::seconds(90));
    CHECK(sim.copies("m0") >= 5);
    for (const auto& [name, size] : sim.f.models) {
        CHECK(sim.copies(name) >= 1);
    }
}

// Guards against requests that are refused although engines without a limit could serve them.
TEST_CASE("a busy model whose engines state a low rate limit gets a copy elsewhere") {
    simulated_fleet sim{fleet(4, 6), {}, {}, {}, {}, 0};
    sim.f.engines[0].models = {"m0", "m1"};
    sim.f.engines[1].models = {"m0", "m2"};
    sim.f.engines[2].models = {"m3", "m4"};
    sim.f.engines[3].models = {"m3", "m5"};
    sim.f.demand["m0"] = {0.4, false};
    sim.f.demand["m3"] = {0.4, false};
    sim.run(start, std::chrono::seconds(10));
    CHECK(sim.loads == 0);
    sim.f.engines[0].capacity = 0.1;
    sim.f.engines[1].capacity = 0.1;
    sim.run(start + std::chrono::seconds(10), std::chrono::seconds(20));
    const auto holds = [&](std::size_t engine) {
        return sim.f.engines[engine].models.contains("m0");
    };
    CHECK((holds(2) || holds(3)));
    for (const auto& [name, size] : sim.f.models) {
        CHECK(sim.copies(name) >= 1);
    }
}

// Guards against a model in demand that is left to engines with a low rate limit.
TEST_CASE("a copy at an engine with a low rate limit does not replace one at a whole engine") {
    simulated_fleet sim{fleet(2, 4), {}, {}, {}, {}, 0};
    sim.f.engines[0].models = {"m0", "m1"};
    sim.f.engines[1].models = {"m0", "m2"};
    sim.f.engines[1].capacity = 0.1;
    sim.f.demand["m0"] = {0.4, false};
    sim.f.demand["m3"] = {0.1, true};
    sim.run(start, std::chrono::seconds(20));
    CHECK(sim.f.engines[0].models.contains("m0"));
    CHECK(sim.copies("m3") >= 1);
}

TEST_CASE("a requested model without a copy is loaded although all engines are full") {
    simulated_fleet sim{fleet(2, 6), {}, {}, {}, {}, 0};
    sim.f.engines[0].models = {"m0", "m1"};
    sim.f.engines[1].models = {"m2", "m3"};
    sim.f.demand["m0"] = {0.3, false};
    sim.f.demand["m5"] = {0.0, true};
    sim.run(start, std::chrono::seconds(8));
    CHECK(sim.copies("m5") == 1);
    // The model with demand keeps its copy.
    CHECK(sim.copies("m0") == 1);
}

TEST_CASE("requested models stay reachable while demand repeatedly shifts to other models") {
    const unsigned seed = 21;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    simulated_fleet sim{fleet(12, 20), {}, {}, {}, {}, 0};
    time_point t = start;
    for (int shift = 0; shift < 20; ++shift) {
        sim.f.demand.clear();
        for (int i = 0; i < 4; ++i) {
            const int m = std::uniform_int_distribution<int>(0, 19)(rng);
            const std::string name = "m" + std::to_string(m);
            sim.f.demand[name] = {0.5, sim.copies(name) == 0};
        }
        sim.run(t, std::chrono::seconds(10));
        t += std::chrono::seconds(10);
        for (const auto& [name, d] : sim.f.demand) {
            CHECK(sim.copies(name) >= 1);
        }
    }
}

TEST_CASE("an engine that does not accept work gets no orders and its copies do not count") {
    simulated_fleet sim{fleet(2, 2), {}, {}, {}, {}, 0};
    sim.f.engines[0].models = {"m0", "m1"};
    sim.f.engines[0].accepting = false;
    sim.run(start, std::chrono::seconds(20));
    CHECK(sim.f.engines[1].models.size() == 2);
}

// Guards against a planner that keeps a record for each load that an absurd rate would allow.
TEST_CASE("a very high rate of the weight store costs no memory") {
    move_settings s;
    set_store_rate(s, 1.1, std::chrono::seconds(5));
    CHECK(s.max_store_loads_per_window == 5);
    CHECK(s.max_concurrent_store_loads == 4);
    set_store_rate(s, 0, std::chrono::seconds(5));
    CHECK(s.max_store_loads_per_window == 1);
    for (const double rate : {1e9, 1e15, 9007199254740992.0}) {
        set_store_rate(s, rate, std::chrono::seconds(5));
        move_planner_state m;
        begin_planning(m, s, start);
        CHECK(m.store_loads.size() <= 10'000);
    }
}

TEST_CASE("a new planner leaves part of the store's rate for loads of the previous one") {
    const move_settings s;
    move_planner_state m;
    begin_planning(m, s, start);
    const fleet_state f = fleet(12, 20);
    std::size_t begun = 0;
    for (const move& x : next_moves(f, m, s, start)) {
        begun += x.from_store ? 1 : 0;
    }
    // The weight store tolerates three loads beyond its rate in a window, so a new planner may
    // begin that many, whatever the previous one has begun.
    CHECK(begun <= 3);
}

TEST_CASE("an order without effect is dropped after its timeout") {
    const move_settings s;
    move_planner_state m;
    fleet_state f = fleet(1, 1);
    record_order(m, {"e0", move_kind::load, "m0", true, ""}, start);
    reconcile_orders(m, f, s, start + s.order_timeout - std::chrono::seconds(1));
    CHECK(m.orders.size() == 1);
    reconcile_orders(m, f, s, start + s.order_timeout + std::chrono::seconds(1));
    CHECK(m.orders.empty());
}

TEST_CASE("an engine that refuses an order does not delay a load that another engine could do") {
    fleet_state f = fleet(2, 1);
    // The first engine's host has the weights, so it is the cheaper choice.
    f.engines[0].local_weights.insert("m0");
    f.demand["m0"].unplaced = true;
    move_planner_state state;
    const auto first = next_moves(f, state, {}, start);
    REQUIRE(first.size() == 1);
    CHECK(first[0].engine == "e0");
    record_order(state, first[0], start);
    record_refused_order(state, "e0", start);
    const auto second = next_moves(f, state, {}, start + std::chrono::milliseconds(250));
    REQUIRE(second.size() == 1);
    CHECK(second[0].engine == "e1");
    // After the backoff it gets the order again.
    reconcile_orders(state, f, {}, start + std::chrono::seconds(2));
    const auto third = next_moves(f, state, {}, start + std::chrono::seconds(2));
    REQUIRE(third.size() == 1);
    CHECK(third[0].engine == "e0");
}

namespace {

// 46 engines after a restart without loaded models, and 98 models. The hosts' disks still hold the
// weights: the first model's on many hosts, the others' on few.
simulated_fleet after_power_loss() {
    simulated_fleet sim{fleet(46, 98), {}, {}, {}, {}, 0};
    std::vector<engine_state>& engines = sim.f.engines;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].weights_capacity_mb = 230'000;
        if (i % 3 == 0) {
            engines[i].local_weights.insert("m0");
        }
    }
    for (std::size_t m = 0; m < 98; ++m) {
        for (const std::size_t i : {m, 3 * m + 17}) {
            engines[i % engines.size()].local_weights.insert("m" + std::to_string(m));
        }
    }
    sim.f.demand["m0"] = {4.0, false};
    sim.f.demand["m1"] = {1.2, false};
    for (int m = 2; m < 20; ++m) {
        sim.f.demand["m" + std::to_string(m)] = {0.2, false};
    }
    begin_planning(sim.state, sim.s, start);
    return sim;
}

}  // namespace

TEST_CASE("models become reachable in time after a power loss empties all engines") {
    simulated_fleet sim = after_power_loss();
    sim.run(start, std::chrono::milliseconds(1500));
    // Each engine has had time for one load.
    CHECK(sim.copies("m0") >= 6);
    sim.run(start + std::chrono::milliseconds(1500), std::chrono::milliseconds(1500));
    for (int m = 1; m < 20; ++m) {
        CHECK(sim.copies("m" + std::to_string(m)) >= 1);
    }
    sim.run(start + std::chrono::seconds(3), std::chrono::seconds(3));
    for (const auto& [name, size] : sim.f.models) {
        CHECK(sim.copies(name) >= 1);
    }
}

TEST_CASE("a planning round for 46 engines fits its 250 ms interval on 0.32 of a core") {
    simulated_fleet sim = after_power_loss();
    sim.run(start, std::chrono::seconds(10));
    sim.f.demand["m0"].engines = 0.5;
    sim.f.demand["m7"].engines = 4.0;
    const std::clock_t before = std::clock();
    constexpr int rounds = 10;
    for (int i = 0; i < rounds; ++i) {
        (void)next_moves(sim.f, sim.state, sim.s, start + std::chrono::seconds(11));
    }
    const double ms = 1000.0 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / rounds;
    MESSAGE("a round takes " << ms << " ms of processor time");
#ifndef __SANITIZE_ADDRESS__
    CHECK(ms < 250 * 0.32);
#endif
}
