// Bursts of long prompts beyond what the copies can read, in virtual time, beside a queue without
// admission.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <random>

#include "dispatch/admission.h"

using namespace burdockdeck;
using namespace burdockdeck::dispatch;

namespace {

constexpr double tokens_per_ms = 38;
constexpr std::uint32_t prompt_tokens = 3800;
constexpr duration patience = std::chrono::milliseconds(2400);
const time_point start{std::chrono::seconds(500)};

upstream engine(const std::string& id) {
    upstream u;
    u.id = id;
    u.service = "maps";
    u.failure_domain = "east";
    u.slots = 64;
    u.models["m"] = {};
    return u;
}

work long_prompt() {
    work w;
    w.model = "m";
    w.prompt_tokens = prompt_tokens;
    w.output_tokens = 50;
    w.parts = {{1, prompt_tokens}};
    return w;
}

request_view view(const work& w) {
    request_view v;
    v.needs = &w;
    v.service = "maps";
    v.failure_domain = "east";
    v.tokens_per_ms = tokens_per_ms;
    return v;
}

struct outcome {
    int served = 0;
    int left = 0;
    int refused = 0;
    double worst_ms = 0;
};

// Prompts at a multiple of what two engines read, each in order; callers that leave while waiting
// cost nothing more, those that leave while being read have cost their reading.
outcome play(double load, bool admits, std::uint64_t seed) {
    std::array<upstream, 2> engines{engine("a"), engine("b")};
    std::array<double, 2> free_at_ms{0, 0};
    const std::vector<upstream*> all{&engines[0], &engines[1]};
    const work w = long_prompt();
    const double read_ms = prompt_tokens / tokens_per_ms;
    std::mt19937_64 rng(seed);
    std::exponential_distribution<double> gap(load * 2 / read_ms);
    choice_settings choosing;
    outcome out;
    for (double at = gap(rng); at < 10'000; at += gap(rng)) {
        const time_point now = start + std::chrono::microseconds(std::int64_t(1000 * at));
        for (std::size_t i = 0; i < 2; ++i) {
            engines[i].unread_ms = std::max(0.0, free_at_ms[i] - at);
        }
        if (admits && rejection_retry_after(all, view(w), patience, choosing, {}, now)) {
            ++out.refused;
            continue;
        }
        const std::size_t to = free_at_ms[0] <= free_at_ms[1] ? 0 : 1;
        const double begins = std::max(at, free_at_ms[to]);
        const double waited = begins + read_ms - at;
        if (begins - at > 1000 * to_seconds(patience)) {
            ++out.left;
            continue;
        }
        free_at_ms[to] = begins + read_ms;
        (waited > 1000 * to_seconds(patience) ? out.left : out.served) += 1;
        out.worst_ms = std::max(out.worst_ms, waited);
    }
    return out;
}

}  // namespace

TEST_CASE("At twice the capacity nobody waits in vain, and as many or more are served") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        const outcome queue = play(2, false, seed);
        const outcome ours = play(2, true, seed);
        CHECK(queue.left > 20);
        CHECK(ours.left == 0);
        CHECK(ours.refused > 0);
        CHECK(ours.served >= 0.97 * queue.served);
        CHECK(ours.worst_ms <= 1000 * to_seconds(patience));
    }
}

TEST_CASE("Below the capacity nobody is refused") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK(play(0.6, true, seed).refused == 0);
    }
}

TEST_CASE("Who is refused is told to come back when the queue has gone down") {
    upstream u = engine("a");
    u.unread_ms = 5000;
    const work w = long_prompt();
    const auto away = rejection_retry_after({&u}, view(w), patience, {}, {}, start);
    REQUIRE(away.has_value());
    // Reading the prompt itself takes 100 ms.
    CHECK(to_seconds(*away) == doctest::Approx(5.1 - 2.4).epsilon(0.05));
}

TEST_CASE("One free copy, a short prompt, no copy at all and unknown patience refuse nobody") {
    upstream busy = engine("a");
    busy.unread_ms = 60'000;
    upstream free = engine("b");
    work w = long_prompt();
    CHECK_FALSE(
        rejection_retry_after({&busy, &free}, view(w), patience, {}, {}, start).has_value());
    CHECK_FALSE(rejection_retry_after({}, view(w), patience, {}, {}, start).has_value());
    CHECK_FALSE(
        rejection_retry_after({&busy}, view(w), duration::zero(), {}, {}, start).has_value());
    w.prompt_tokens = 300;
    CHECK_FALSE(rejection_retry_after({&busy}, view(w), patience, {}, {}, start).has_value());
}
