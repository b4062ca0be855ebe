// Permits against a naive version that counts the grants of a sliding window, and the order of
// statements about a limit.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <random>
#include <vector>

#include "ratelimit/news.h"
#include "ratelimit/permits.h"

using namespace burdockdeck;
using namespace burdockdeck::ratelimit;
using namespace std::chrono_literals;

namespace {

const time_point start{1000s};

// Grants a request if the last second has room for it; keeps every grant and never grants ahead.
struct naive_limiter {
    std::deque<time_point> granted;

    bool take(double per_second, time_point now) {
        while (!granted.empty() && now - granted.front() >= 1s) {
            granted.pop_front();
        }
        if (static_cast<double>(granted.size()) + 1 > std::max(1.0, per_second)) {
            return false;
        }
        granted.push_back(now);
        return true;
    }
};

double to_s(duration d) {
    return std::chrono::duration<double>(d).count();
}

// The largest number of times in any window of this length.
std::size_t most_in(const std::vector<time_point>& times, duration window) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        while (times[i] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

}  // namespace

TEST_CASE("permits stay within the rate in every window and use it as the naive version does") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937 rng(seed);
        const double rate = std::uniform_real_distribution<double>(1, 40)(rng);
        bucket b;
        naive_limiter naive;
        std::vector<time_point> due;
        std::size_t naive_grants = 0;
        for (time_point now = start; now < start + 60s;) {
            now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                std::exponential_distribution<double>(3 * rate)(rng)));
            if (const permit p = take(b, rate, 0ms, now); p.granted) {
                due.push_back(now + p.wait);
            }
            naive_grants += naive.take(rate, now) ? 1 : 0;
        }
        for (const duration window : {duration(500ms), duration(1s), duration(4s)}) {
            CHECK(static_cast<double>(most_in(due, window)) <= (to_s(window) + 0.5) * rate + 1);
        }
        CHECK(static_cast<double>(due.size()) >= 0.9 * static_cast<double>(naive_grants));
    }
}

TEST_CASE("permits in advance keep the rate, and nobody waits longer than asked") {
    std::mt19937 rng(7);
    const double rate = 3;
    bucket b;
    std::vector<time_point> due;
    for (time_point now = start; now < start + 60s; now += 50ms) {
        const duration max_wait =
            std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 3000)(rng));
        const permit p = take(b, rate, max_wait, now);
        if (p.granted) {
            CHECK(p.wait <= std::min(max_wait, max_advance));
            due.push_back(now + p.wait);
        } else {
            CHECK(p.wait > 0ms);
        }
    }
    std::sort(due.begin(), due.end());
    CHECK(static_cast<double>(most_in(due, 4s)) <= 4.5 * rate + 1);
    CHECK(static_cast<double>(due.size()) >= 0.95 * 60 * rate);
}

TEST_CASE("the newest statement counts, whatever the order of arrival") {
    ledger l;
    const target t{"u1", 5};
    CHECK(record_limit(l, t, {2, start + 2s}));
    CHECK(!record_limit(l, t, {0, start + 1s}));
    CHECK(l.limits[t].per_second == 2);
    CHECK(!record_limit(l, t, {2, start + 3s}));
    CHECK(record_limit(l, t, {0, start + 4s}));
    CHECK(request_permit(l, t, 0ms, start + 4s).granted);
}

TEST_CASE("a limit ends with the incarnation that stated it, and after its retention") {
    ledger l;
    record_limit(l, {"u1", 5}, {0.1, start});
    CHECK(request_permit(l, {"u1", 5}, 0ms, start).granted);
    CHECK(!request_permit(l, {"u1", 5}, 0ms, start).granted);
    CHECK(request_permit(l, {"u1", 6}, 0ms, start).granted);
    CHECK(request_permit(l, {"u1", 6}, 0ms, start).granted);
    expire(l, 60s, start + 59s);
    CHECK(l.limits.size() == 1);
    expire(l, 60s, start + 61s);
    CHECK(l.limits.empty());
    CHECK(l.buckets.empty());
}

TEST_CASE("gateways without a ledger keep the limit on average") {
    for (const std::uint32_t gateways : {1U, 3U, 7U, 27U, 200U}) {
        for (const double rate : {0.2, 1.0, 3.0, 30.0}) {
            CAPTURE(gateways);
            CAPTURE(rate);
            constexpr int upstreams = 400;
            double sum = 0;
            for (int u = 0; u < upstreams; ++u) {
                for (std::uint32_t g = 0; g < gateways; ++g) {
                    sum += share_without_ledger("g" + std::to_string(g),
                                                {"u" + std::to_string(u), 1}, rate, gateways);
                }
            }
            CHECK(sum / upstreams <= 1.15 * rate);
            CHECK(sum / upstreams >= 0.85 * rate);
        }
    }
}

TEST_CASE("statements keep their age between processes, and odd rates limit nothing") {
    const target t{"u1", 9};
    const schema::rate_limit m = to_message(t, {2.5, start}, start + 300ms);
    CHECK(target_of(m) == t);
    const stated_limit s = statement_of(m, start + 10s);
    CHECK(s.per_second == 2.5);
    CHECK(s.stated_at == start + 10s - 300ms);
    schema::rate_limit odd = m;
    for (const double rate : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity()}) {
        odd.set_per_second(rate);
        CHECK(statement_of(odd, start).per_second == 0);
    }
    odd.set_age_ms(std::numeric_limits<std::uint64_t>::max());
    CHECK(statement_of(odd, start).stated_at < start);
}
