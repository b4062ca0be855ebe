// Tests of the retry budget: the retries of all gateways together stay within the fleet's limit,
// although gateways exchange no messages.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "dispatch/budget.h"

using namespace burdockdeck;
using namespace burdockdeck::dispatch;

TEST_CASE("the fleet stays within ratio and slack in every window") {
    const unsigned seed = 5;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const budget_settings s;
    const std::size_t gateways = 8;
    std::vector<retry_budget> budgets(gateways);
    struct sent {
        time_point at;
        bool retry;
    };
    std::vector<sent> all;
    // Every request fails and is retried up to three times, if the gateway's budget allows it.
    for (int ms = 0; ms < 60'000; ms += 5) {
        const time_point t{std::chrono::milliseconds(1'000'000 + ms)};
        // Uneven load: the first gateway gets more than half of the callers.
        const std::size_t g = std::uniform_int_distribution<std::size_t>(0, gateways - 1)(rng) *
                              std::uniform_int_distribution<std::size_t>(0, 1)(rng);
        record_send(budgets[g], s, false, t);
        all.push_back({t, false});
        for (int i = 0; i < 3; ++i) {
            if (may_retry(budgets[g], s, gateways, t)) {
                record_send(budgets[g], s, true, t);
                all.push_back({t, true});
            }
        }
    }
    std::size_t begin = 0;
    double first_sends = 0;
    double retries = 0;
    for (std::size_t end = 0; end < all.size(); ++end) {
        (all[end].retry ? retries : first_sends) += 1;
        while (all[end].at - all[begin].at > s.window) {
            (all[begin].retry ? retries : first_sends) -= 1;
            ++begin;
        }
        REQUIRE(retries <= s.ratio * first_sends + s.slack);
    }
}

TEST_CASE("an idle gateway may use its part of the slack") {
    const budget_settings s;
    retry_budget b;
    const time_point t{std::chrono::seconds(9)};
    int allowed = 0;
    while (may_retry(b, s, 8, t)) {
        record_send(b, s, true, t);
        ++allowed;
    }
    CHECK(allowed >= 5);
    CHECK(allowed * 8 <= s.slack);
}
