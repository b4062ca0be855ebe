// Tests of admission control: bursts of long prompts beyond the capacity of two engines, simulated
// in virtual time and compared with a queue without admission control.
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
constexpr duration first_event_timeout = std::chrono::milliseconds(2400);
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
    int abandoned = 0;
    int refused = 0;
    double max_latency_ms = 0;
};

// Simulates two engines that read prompts in order of arrival, with `load` as a multiple of their
// capacity. A caller that leaves while it waits costs no engine time; one that leaves while its
// prompt is being read has used the whole reading time.
outcome simulate(double load, bool admits, std::uint64_t seed) {
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
        if (admits && rejection_retry_after(all, view(w), first_event_timeout, choosing, {}, now)) {
            ++out.refused;
            continue;
        }
        const std::size_t to = free_at_ms[0] <= free_at_ms[1] ? 0 : 1;
        const double begins = std::max(at, free_at_ms[to]);
        const double waited = begins + read_ms - at;
        if (begins - at > 1000 * to_seconds(first_event_timeout)) {
            ++out.abandoned;
            continue;
        }
        free_at_ms[to] = begins + read_ms;
        (waited > 1000 * to_seconds(first_event_timeout) ? out.abandoned : out.served) += 1;
        out.max_latency_ms = std::max(out.max_latency_ms, waited);
    }
    return out;
}

}  // namespace

TEST_CASE("at twice the capacity no admitted caller leaves, and at most 3% fewer are served") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        const outcome without_admission = simulate(2, false, seed);
        const outcome with_admission = simulate(2, true, seed);
        CHECK(without_admission.abandoned > 20);
        CHECK(with_admission.abandoned == 0);
        CHECK(with_admission.refused > 0);
        CHECK(with_admission.served >= 0.97 * without_admission.served);
        CHECK(with_admission.max_latency_ms <= 1000 * to_seconds(first_event_timeout));
    }
}

TEST_CASE("below the capacity no request is refused") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK(simulate(0.6, true, seed).refused == 0);
    }
}

TEST_CASE("the retry delay of a refused request is the expected time beyond the timeout") {
    upstream u = engine("a");
    u.unread_ms = 5000;
    const work w = long_prompt();
    const auto retry_after =
        rejection_retry_after({&u}, view(w), first_event_timeout, {}, {}, start);
    REQUIRE(retry_after.has_value());
    // Reading the prompt itself takes 100 ms.
    CHECK(to_seconds(*retry_after) == doctest::Approx(5.1 - 2.4).epsilon(0.05));
}

TEST_CASE(
    "a free copy, no copy, an unknown timeout or a short prompt: the request is not refused") {
    upstream busy = engine("a");
    busy.unread_ms = 60'000;
    upstream free = engine("b");
    work w = long_prompt();
    CHECK_FALSE(rejection_retry_after({&busy, &free}, view(w), first_event_timeout, {}, {}, start)
                    .has_value());
    CHECK_FALSE(rejection_retry_after({}, view(w), first_event_timeout, {}, {}, start).has_value());
    CHECK_FALSE(
        rejection_retry_after({&busy}, view(w), duration::zero(), {}, {}, start).has_value());
    w.prompt_tokens = 300;
    CHECK_FALSE(
        rejection_retry_after({&busy}, view(w), first_event_timeout, {}, {}, start).has_value());
}
