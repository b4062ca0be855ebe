// Tests of the queue, compared with FIFO order on one simulated upstream in virtual time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "queueing/queue.h"

using namespace burdockdeck;
using namespace burdockdeck::queueing;
using std::chrono::milliseconds;

namespace {

constexpr double token_seconds = 0.002;
constexpr std::uint32_t short_tokens = 50;
constexpr std::uint32_t long_job_tokens = 2000;

struct latency_summary {
    double short_p99 = 0.0;
    double long_mean = 0.0;
    double longest_wait = 0.0;
};

struct arrival {
    time_point at;
    std::uint32_t tokens;
    std::uint32_t estimated_tokens;
};

// Poisson arrivals at 80% of the capacity of 8 slots; one in ten is long if `with_long`.
std::vector<arrival> arrivals(bool with_long, unsigned seed, int count) {
    std::mt19937_64 rng(seed);
    std::vector<arrival> list;
    const double mean_tokens =
        with_long ? 0.9 * short_tokens + 0.1 * long_job_tokens : short_tokens;
    std::exponential_distribution<double> gap(0.8 * 8.0 / (mean_tokens * token_seconds));
    double t = 0.0;
    for (int i = 0; i < count; ++i) {
        t += gap(rng);
        const bool is_long = with_long && rng() % 10 == 0;
        const std::uint32_t tokens = is_long ? long_job_tokens : short_tokens;
        // Estimates are wrong by up to a factor of two in either direction.
        const double error_factor =
            std::exp2(std::uniform_real_distribution<double>(-1.0, 1.0)(rng));
        list.push_back(
            {time_point(std::chrono::duration_cast<duration>(std::chrono::duration<double>(t))),
             tokens, static_cast<std::uint32_t>(tokens * error_factor)});
    }
    return list;
}

latency_summary simulate(const policy& rules, const std::vector<arrival>& load) {
    queue q;
    q.rules = rules;
    std::multimap<time_point, std::uint64_t> ends;
    std::vector<double> short_latencies;
    std::vector<double> long_latencies;
    latency_summary out;
    std::size_t next = 0;
    time_point now{};
    while (next < load.size() || !ends.empty()) {
        const bool arrives =
            next < load.size() && (ends.empty() || load[next].at <= ends.begin()->first);
        if (arrives) {
            now = load[next].at;
            enqueue(q, {next, load[next].estimated_tokens, priority::normal, now, time_point::max(),
                        false});
            ++next;
        } else {
            now = ends.begin()->first;
            const std::uint64_t id = ends.begin()->second;
            ends.erase(ends.begin());
            progress(q, id, load[id].tokens);
            finish(q, id, now);
            const double took = to_seconds(now - load[id].at);
            (load[id].tokens == short_tokens ? short_latencies : long_latencies).push_back(took);
        }
        while (const auto started = start_next(q, now)) {
            out.longest_wait = std::max(out.longest_wait, to_seconds(now - started->enqueued));
            const double seconds = load[started->id].tokens * token_seconds;
            ends.emplace(
                now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)),
                started->id);
        }
        CHECK(q.running.size() <= rules.slots);
    }
    std::sort(short_latencies.begin(), short_latencies.end());
    out.short_p99 = short_latencies[short_latencies.size() * 99 / 100];
    for (const double l : long_latencies) {
        out.long_mean += l / static_cast<double>(long_latencies.size());
    }
    return out;
}

}  // namespace

TEST_CASE("long work hardly delays short work, and its own mean time rises by at most 30%") {
    const unsigned seed = 7;
    MESSAGE("seed " << seed);
    const int count = 40000;
    const policy size_based;
    policy arrival_ordered;
    arrival_ordered.arrival_order = true;
    const latency_summary short_only = simulate(size_based, arrivals(false, seed, count));
    const latency_summary mixed = simulate(size_based, arrivals(true, seed, count));
    const latency_summary fifo = simulate(arrival_ordered, arrivals(true, seed, count));
    MESSAGE("short p99: short work only " << short_only.short_p99 << " s, mixed " << mixed.short_p99
                                          << " s, fifo " << fifo.short_p99
                                          << " s; long mean: " << mixed.long_mean << " s, fifo "
                                          << fifo.long_mean << " s");
    CHECK(mixed.short_p99 <= 1.5 * short_only.short_p99);
    CHECK(mixed.long_mean <= 1.3 * fifo.long_mean);
    CHECK(fifo.short_p99 > 1.5 * short_only.short_p99);
}

TEST_CASE("aged work starts first, in order of arrival") {
    queue q;
    q.rules.slots = 1;
    q.rules.reserved_for_short = 0;
    const time_point start{};
    enqueue(q, {1, 9000, priority::low, start, time_point::max(), false});
    enqueue(q, {2, 10, priority::high, start + milliseconds(1), time_point::max(), false});
    SUBCASE("not aged: by priority and size") {
        CHECK(start_next(q, start + milliseconds(2))->id == 2);
    }
    SUBCASE("aged: by arrival") {
        CHECK(start_next(q, start + q.rules.oldest_first_after)->id == 1);
    }
}

TEST_CASE(
    "long work never takes the reserved slots; work that exceeds its estimate counts as long") {
    queue q;
    q.rules.slots = 3;
    q.rules.reserved_for_short = 1;
    const time_point now{};
    for (std::uint64_t id = 1; id <= 3; ++id) {
        enqueue(q, {id, 5000, priority::normal, now, time_point::max(), true});
    }
    CHECK(start_next(q, now));
    CHECK(start_next(q, now));
    CHECK(!start_next(q, now));
    enqueue(q, {4, 10, priority::normal, now, time_point::max(), false});
    CHECK(start_next(q, now)->id == 4);
    enqueue(q, {5, 10, priority::normal, now, time_point::max(), false});
    CHECK(!start_next(q, now));
    CHECK(preemption_victim(q).has_value());
    progress(q, 4, 4000);
    CHECK(q.running.at(4).counts_as_long);
}

TEST_CASE("work that cannot meet its deadline is refused before it waits") {
    queue q;
    q.rules.slots = 1;
    q.rules.reserved_for_short = 0;
    q.tokens_per_second = 100.0;
    const time_point now{};
    const item work{2, 100, priority::normal, now, now + milliseconds(1500), false, true};
    item urgent = work;
    urgent.deadline = now + milliseconds(700);
    CHECK(!cannot_meet_deadline(q, work, now));
    // The measured rate is ignored while a slot is free: if all work were refused because of it, no
    // new sample could correct it.
    CHECK(!cannot_meet_deadline(q, urgent, now));
    enqueue(q, {1, 100, priority::normal, now, time_point::max(), false, true});
    CHECK(start_next(q, now));
    CHECK(cannot_meet_deadline(q, work, now));
    enqueue(q, work);
    // Waiting work with a service time of 1 s expires once less than 0.8 s remain until its
    // deadline.
    CHECK(take_expired(q, now + milliseconds(699)).empty());
    CHECK(take_expired(q, now + milliseconds(701)).size() == 1);
    CHECK(!withdraw(q, 2));
    // Work without a size estimate expires only at its deadline.
    item unsized = work;
    unsized.sized = false;
    enqueue(q, unsized);
    CHECK(take_expired(q, now + milliseconds(1499)).empty());
    CHECK(take_expired(q, now + milliseconds(1500)).size() == 1);
}
