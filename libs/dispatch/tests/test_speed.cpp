// Tests of the estimated reading speeds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "dispatch/speed.h"

using namespace burdockdeck::dispatch;

TEST_CASE("a model without samples has the default speed") {
    CHECK(speed_of({}, "m", 38) == 38);
}

TEST_CASE("estimates follow speeds that differ ninefold, despite temporarily slow engines") {
    const unsigned seed = 31;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    for (const double true_speed : {38.4, 64.0, 349.0}) {
        model_speeds s;
        for (int i = 0; i < 100; ++i) {
            // In 15% of the samples a co-located load makes the engine 2.5 times slower.
            const double slow = draw(rng) < 0.15 ? 2.5 : 1.0;
            const double tokens = 1500 + 4000 * draw(rng);
            record_read_sample(s, "m", tokens, 7 + slow * tokens / true_speed, 38);
        }
        CHECK(speed_of(s, "m", 0) > 0.7 * true_speed);
        CHECK(speed_of(s, "m", 0) < 1.2 * true_speed);
    }
}

TEST_CASE("samples of a stalled engine are ignored") {
    model_speeds s;
    for (int i = 0; i < 50; ++i) {
        record_read_sample(s, "m", 2890, 5000, 38);
    }
    CHECK(speed_of(s, "m", 0) == 38);
}
