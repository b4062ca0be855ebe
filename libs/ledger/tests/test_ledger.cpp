// The ledger against a naive engine whose orders get lost or land late: the engine's memory never
// goes above its capacity.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>
#include <random>

#include "ledger/ledger.h"

using namespace burdockdeck;
using namespace burdockdeck::ledger;

namespace {

constexpr unsigned capacity = 100;

// An engine that does what arrives, whenever it arrives, and counts its own memory.
struct naive_engine {
    std::map<std::string, unsigned> loaded;
    std::deque<std::pair<std::string, unsigned>> late_loads;

    unsigned used() const {
        unsigned total = 0;
        for (const auto& [item, mb] : loaded) {
            total += mb;
        }
        return total;
    }
    std::vector<inventory_item> inventory() const {
        std::vector<inventory_item> list;
        for (const auto& [item, mb] : loaded) {
            list.push_back({item, mb, false});
        }
        return list;
    }
};

// Plays random orders with losses; returns the highest memory that the engine ever used.
unsigned highest_use(unsigned seed, mutation broken) {
    std::mt19937_64 rng(seed);
    const auto pick = [&](int n) { return static_cast<int>(rng() % static_cast<unsigned>(n)); };
    naive_engine engine;
    struct ledger l;
    l.capacity_mb = capacity;
    unsigned highest = 0;
    for (int step = 0; step < 400; ++step) {
        const std::string item = "m" + std::to_string(pick(8));
        const unsigned mb = 10 + static_cast<unsigned>(item[1] - '0') * 5;
        switch (pick(5)) {
            case 0:
            case 1: {
                const bool held = l.allocations.contains(item);
                if (held || !succeeded(begin_load(l, item, mb))) {
                    break;
                }
                const int fate = pick(3);
                if (fate == 0) {
                    engine.loaded[item] = mb;
                    load_done(l, item);
                } else {
                    engine.late_loads.emplace_back(item, mb);
                    order_unanswered(l, item, broken);
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
        highest = std::max(highest, engine.used());
        if (broken == mutation::none) {
            CHECK(used_mb(l) <= capacity);
        }
    }
    return highest;
}

}  // namespace

TEST_CASE("lost and late orders never overcommit the engine") {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        CHECK(highest_use(seed, mutation::none) <= capacity);
    }
}

TEST_CASE("shown able to fail: releasing unanswered loads overcommits") {
    unsigned highest = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        highest = std::max(highest, highest_use(seed, mutation::release_unanswered));
    }
    CHECK(highest > capacity);
}

TEST_CASE("an unanswered load is settled by the inventory, or by a fence") {
    struct ledger l;
    l.capacity_mb = capacity;
    REQUIRE(succeeded(begin_load(l, "a", 60)));
    order_unanswered(l, "a");
    apply_inventory(l, {}, false);
    CHECK(free_mb(l) == 40);
    const auto refused = begin_load(l, "b", 50);
    REQUIRE(!succeeded(refused));
    CHECK(error(refused).free_mb == 40);
    SUBCASE("it landed") {
        apply_inventory(l, {{"a", 60, false}}, false);
        CHECK(l.allocations.at("a").state == allocation_state::resident);
    }
    SUBCASE("the engine refuses earlier orders from now on") {
        apply_inventory(l, {}, true);
        CHECK(free_mb(l) == 100);
    }
}

TEST_CASE("a restarted agent counts what the engine lists before it reserves") {
    struct ledger l;
    l.capacity_mb = capacity;
    apply_inventory(l, {{"old", 80, false}}, false);
    CHECK(!succeeded(begin_load(l, "new", 30)));
}
