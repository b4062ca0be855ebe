// Tests of routing, compared with random choice and round robin while one upstream in six is
// temporarily slow.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <queue>
#include <random>

#include "routing/router.h"

using namespace burdockdeck;
using namespace burdockdeck::routing;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t upstreams = 6;
constexpr int slots = 4;
constexpr std::uint32_t tokens = 20;
constexpr double token_seconds = 0.001;
constexpr double slow_factor = 10.0;

enum class strategy { adaptive, random, round_robin };

// In each period of 3 s one upstream, in turn, is slow for the first 0.5 s.
bool slow(std::size_t upstream, double t) {
    const double phase = t - 3.0 * std::floor(t / 3.0);
    return phase < 0.5 && static_cast<std::size_t>(t / 3.0) % upstreams == upstream;
}

struct event {
    double at;
    int kind;
    std::size_t upstream;
    std::size_t entry;
    double sent;
    bool operator>(const event& o) const {
        return at > o.at;
    }
};

time_point point(double t) {
    return time_point(std::chrono::duration_cast<duration>(std::chrono::duration<double>(t)));
}

// p99 latency of a simulation in virtual time, with two entries at 70% load.
double p99(strategy how, bool with_stragglers, unsigned seed) {
    std::mt19937_64 rng(seed);
    std::array<std::array<observation, upstreams>, 2> seen{};
    std::array<int, upstreams> busy{};
    std::array<std::queue<event>, upstreams> waiting;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::vector<double> latencies;
    const double rate = 0.7 * upstreams * slots / (tokens * token_seconds);
    std::exponential_distribution<double> gap(rate);
    std::size_t turn = 0;
    const auto start = [&](const event& e, double now) {
        ++busy[e.upstream];
        const double factor = with_stragglers && slow(e.upstream, now) ? slow_factor : 1.0;
        const double jitter = std::uniform_real_distribution<double>(0.5, 1.5)(rng);
        events.push(
            {now + tokens * token_seconds * factor * jitter, 1, e.upstream, e.entry, e.sent});
    };
    double t = 0.0;
    events.push({gap(rng), 0, 0, 0, 0.0});
    while (t < 60.0) {
        const event e = events.top();
        events.pop();
        t = e.at;
        if (e.kind == 0) {
            const std::size_t entry = rng() % 2;
            std::array<candidate, upstreams> all;
            for (std::size_t i = 0; i < upstreams; ++i) {
                all[i] = {&seen[entry][i], slots};
            }
            std::size_t pick = turn++ % upstreams;
            if (how == strategy::random) {
                pick = rng() % upstreams;
            } else if (how == strategy::adaptive) {
                pick = *choose(all, {}, point(t), rng);
            }
            on_sent(seen[entry][pick], tokens, point(t));
            const event sent{t, 1, pick, entry, t};
            if (busy[pick] < slots) {
                start(sent, t);
            } else {
                waiting[pick].push(sent);
            }
            events.push({t + gap(rng), 0, 0, 0, 0.0});
            continue;
        }
        --busy[e.upstream];
        observation& o = seen[e.entry][e.upstream];
        const duration took = point(t) - point(e.sent);
        on_first_byte(o, took, point(t));
        on_report(
            o, (waiting[e.upstream].size() + static_cast<std::size_t>(busy[e.upstream])) * tokens,
            point(t));
        on_done(o, tokens, took, point(t));
        latencies.push_back(t - e.sent);
        if (!waiting[e.upstream].empty()) {
            const event next = waiting[e.upstream].front();
            waiting[e.upstream].pop();
            start(next, t);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies[latencies.size() * 99 / 100];
}

}  // namespace

TEST_CASE("p99 with one slow upstream in six is at most twice the p99 without") {
    const unsigned seed = 11;
    MESSAGE("seed " << seed);
    const double without_stragglers = p99(strategy::adaptive, false, seed);
    const double adaptive = p99(strategy::adaptive, true, seed);
    const double random = p99(strategy::random, true, seed);
    const double round_robin_p99 = p99(strategy::round_robin, true, seed);
    MESSAGE("p99: no stragglers " << without_stragglers << " s, adaptive " << adaptive
                                  << " s, random " << random << " s, round robin "
                                  << round_robin_p99 << " s");
    CHECK(adaptive < random);
    CHECK(adaptive < round_robin_p99);
    CHECK(adaptive <= 2.0 * without_stragglers);
}

TEST_CASE("a stalled upstream and an unreachable one are avoided at once") {
    std::mt19937_64 rng(3);
    std::array<observation, 3> seen{};
    const time_point now = point(10.0);
    for (observation& o : seen) {
        o.first_byte_seconds = 0.01;
        o.last_progress = now;
    }
    on_sent(seen[0], 20, now - milliseconds(200));
    seen[0].last_progress = now - milliseconds(300);
    on_failure(seen[1], 0, now);
    const std::array<candidate, 3> all{candidate{&seen[0], 4}, candidate{&seen[1], 4},
                                       candidate{&seen[2], 4}};
    route_settings no_probes;
    no_probes.probe_share = 0.0;
    for (int i = 0; i < 100; ++i) {
        CHECK(choose(all, no_probes, now, rng) == 2);
    }
    CHECK(!choose({}, no_probes, now, rng));
}

TEST_CASE("retries stay within their share of requests, and backoff delays are capped") {
    budget b;
    int extra = 0;
    for (int i = 0; i < 10000; ++i) {
        on_request(b);
        extra += try_spend(b) ? 1 : 0;
    }
    CHECK(extra <= 10000 * b.share + b.limit);
    std::mt19937_64 rng(1);
    for (std::uint32_t retry = 0; retry < 40; ++retry) {
        const duration wait = backoff(retry, rng);
        CHECK(wait > duration::zero());
        CHECK(wait <= milliseconds(500));
    }
}
