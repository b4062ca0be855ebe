// Tests of learnt reading speeds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "dispatch/speed.h"

using namespace burdockdeck::dispatch;

TEST_CASE("an unknown model has the speed of the data sheet") {
    CHECK(speed_of({}, "m", 38) == 38);
}

TEST_CASE("speeds nine times apart are told apart, though engines are slow at moments") {
    const unsigned seed = 31;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    for (const double true_speed : {38.4, 64.0, 349.0}) {
        model_speeds s;
        for (int i = 0; i < 100; ++i) {
            // In 15 of 100 moments a neighbour makes the engine 2.5 times slower.
            const double slow = draw(rng) < 0.15 ? 2.5 : 1.0;
            const double tokens = 1500 + 4000 * draw(rng);
            record_read_sample(s, "m", tokens, 7 + slow * tokens / true_speed, 38);
        }
        CHECK(speed_of(s, "m", 0) > 0.7 * true_speed);
        CHECK(speed_of(s, "m", 0) < 1.2 * true_speed);
    }
}

TEST_CASE("a silent engine says nothing about the model") {
    model_speeds s;
    for (int i = 0; i < 50; ++i) {
        record_read_sample(s, "m", 2890, 5000, 38);
    }
    CHECK(speed_of(s, "m", 0) == 38);
}
