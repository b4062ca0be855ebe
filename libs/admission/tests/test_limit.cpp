// Tests that limits never exceed their capacity, and that shares sum to at most the total and
// follow the demand.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <numeric>
#include <random>

#include "admission/limit.h"

using namespace burdockdeck;
using namespace burdockdeck::admission;

TEST_CASE("random use never exceeds the limit, and waiters are served in order") {
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 rng(seed);
        limit l;
        l.capacity = 7;
        std::uint32_t expected_in_use = 0;
        std::uint64_t last_served = 0;
        for (std::uint64_t step = 1; step <= 500; ++step) {
            if (rng() % 2 == 0) {
                if (acquire_or_wait(l, {step, 1, time_point{}})) {
                    ++expected_in_use;
                }
            } else if (expected_in_use > 0) {
                --expected_in_use;
                for (const waiter& w : release(l, 1)) {
                    ++expected_in_use;
                    CHECK(w.id > last_served);
                    last_served = w.id;
                }
            }
            CHECK(l.in_use == expected_in_use);
            CHECK(l.in_use <= 7);
        }
    }
}

TEST_CASE("a new request does not overtake waiting ones") {
    limit l;
    l.capacity = 2;
    CHECK(try_acquire(l, 2));
    CHECK(!acquire_or_wait(l, {1, 2, time_point{}}));
    CHECK(release(l, 1).empty());
    CHECK(!try_acquire(l, 1));
    CHECK(release(l, 1).size() == 1);
}

TEST_CASE("shares sum to at most the limit; a holder with all the demand gets at least 90%") {
    std::mt19937_64 rng(5);
    for (int round = 0; round < 300; ++round) {
        std::vector<share> holders(1 + rng() % 12);
        for (share& s : holders) {
            s.wanted = static_cast<std::uint32_t>(rng() % 60);
        }
        const std::vector<std::uint32_t> targets = divide(40, holders);
        CHECK(std::accumulate(targets.begin(), targets.end(), 0U) <= 40);
    }
    std::vector<share> uneven_demand(3);
    uneven_demand[1].wanted = 100;
    CHECK(divide(40, uneven_demand)[1] >= 36);
}
