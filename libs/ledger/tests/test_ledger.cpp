// Tests the ledger with a simulated engine whose orders get lost or are executed late: the engine's
// memory use never exceeds its capacity.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>
#include <random>

#include "ledger/ledger.h"

using namespace burdockdeck;
using namespace burdockdeck::ledger;

namespace {

constexpr unsigned capacity = 100;

// An engine that executes every order whenever it arrives, without a check of its capacity.
struct simulated_engine {
    std::map<std::string, unsigned> loaded;
    std::deque<std::pair<std::string, unsigned>> late_loads;

    unsigned used() const {
        unsigned total = 0;
        for (const auto& [item, memory_mb] : loaded) {
            total += memory_mb;
        }
        return total;
    }
    std::vector<inventory_item> inventory() const {
        std::vector<inventory_item> list;
        for (const auto& [item, memory_mb] : loaded) {
            list.push_back({item, memory_mb, false});
        }
        return list;
    }
};

// Runs random orders with losses; returns the engine's peak memory use.
unsigned peak_memory(unsigned seed, mutation injected) {
    std::mt19937_64 rng(seed);
    const auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
    simulated_engine engine;
    struct ledger l;
    l.capacity_mb = capacity;
    unsigned peak = 0;
    for (int step = 0; step < 400; ++step) {
        const std::string item = "m" + std::to_string(pick(8));
        const unsigned memory_mb = 10 + static_cast<unsigned>(item[1] - '0') * 5;
        switch (pick(5)) {
            case 0:
            case 1: {
                const bool held = l.allocations.contains(item);
                if (held || !succeeded(begin_load(l, item, memory_mb))) {
                    break;
                }
                const int outcome = pick(3);
                if (outcome == 0) {
                    engine.loaded[item] = memory_mb;
                    load_done(l, item);
                } else {
                    engine.late_loads.emplace_back(item, memory_mb);
                    order_unanswered(l, item, injected);
                }
                break;
            }
            case 2: {
                const auto held = l.allocations.find(item);
                if (held != l.allocations.end() &&
                    held->second.state == allocation_state::resident) {
                    begin_unload(l, item);
                    engine.loaded.erase(item);
                    if (pick(2) == 0) {
                        unload_done(l, item);
                    }
                }
                break;
            }
            case 3:
                if (!engine.late_loads.empty()) {
                    engine.loaded[engine.late_loads.front().first] =
                        engine.late_loads.front().second;
                    engine.late_loads.pop_front();
                }
                break;
            default:
                apply_inventory(l, engine.inventory(), false);
                break;
        }
        peak = std::max(peak, engine.used());
        if (injected == mutation::none) {
            CHECK(used_mb(l) <= capacity);
        }
    }
    return peak;
}

}  // namespace

TEST_CASE("lost and late orders never overcommit the engine") {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        CHECK(peak_memory(seed, mutation::none) <= capacity);
    }
}

TEST_CASE("mutation: releasing unanswered loads overcommits the engine") {
    unsigned peak = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        peak = std::max(peak, peak_memory(seed, mutation::release_unanswered));
    }
    CHECK(peak > capacity);
}

TEST_CASE("an unanswered load is resolved by the inventory, or by a fence") {
    struct ledger l;
    l.capacity_mb = capacity;
    REQUIRE(succeeded(begin_load(l, "a", 60)));
    order_unanswered(l, "a");
    apply_inventory(l, {}, false);
    CHECK(free_mb(l) == 40);
    const auto refused = begin_load(l, "b", 50);
    REQUIRE(!succeeded(refused));
    CHECK(error(refused).free_mb == 40);
    SUBCASE("the load was executed") {
        apply_inventory(l, {{"a", 60, false}}, false);
        CHECK(l.allocations.at("a").state == allocation_state::resident);
    }
    SUBCASE("the engine now refuses earlier orders") {
        apply_inventory(l, {}, true);
        CHECK(free_mb(l) == 100);
    }
}

TEST_CASE("a restarted agent accounts for the inventory before it reserves") {
    struct ledger l;
    l.capacity_mb = capacity;
    apply_inventory(l, {{"old", 80, false}}, false);
    CHECK(!succeeded(begin_load(l, "new", 30)));
}
