// How much of the control loop updates to all watchers take while changes come in series.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <vector>

#include "update_pacing.h"

using namespace burdockdeck;
using namespace burdockdeck::control;
using std::chrono::milliseconds;

namespace {

const time_point start{std::chrono::seconds(100)};

struct outcome {
    // Share of the time that updates take.
    double busy = 0;
    // Longest time from a change to the end of the update that contains it.
    duration longest_delay{};
};

// Changes come each `interval` for `length`; an update takes `cost`. Without pacing each change is
// sent as soon as the loop is free.
outcome play(duration interval, duration cost, duration length, bool paced) {
    update_pacing pacing;
    outcome out;
    duration busy{};
    std::vector<time_point> waiting;
    time_point next_change = start;
    time_point now = start;
    while (now < start + length) {
        for (; next_change <= now; next_change += interval) {
            waiting.push_back(next_change);
        }
        if (waiting.empty()) {
            now = next_change;
            continue;
        }
        if (paced && wait_before_update(pacing, now) > duration::zero()) {
            now += wait_before_update(pacing, now);
            continue;
        }
        const time_point began = now;
        now += cost;
        record_update(pacing, began, now);
        busy += cost;
        out.longest_delay = std::max(out.longest_delay, now - waiting.front());
        waiting.clear();
    }
    out.busy = to_seconds(busy) / to_seconds(now - start);
    return out;
}

}  // namespace

// Guards against a leader that loses its leadership because updates to a hundred gateways hold its
// loop while engines come and go in series.
TEST_CASE("changes in series take a tenth of the loop, and none waits for long") {
    const outcome naive = play(milliseconds(10), milliseconds(20), std::chrono::seconds(5), false);
    const outcome paced = play(milliseconds(10), milliseconds(20), std::chrono::seconds(5), true);
    CHECK(naive.busy > 0.9);
    CHECK(paced.busy <= 0.11);
    CHECK(paced.longest_delay <= milliseconds(250));
}

TEST_CASE("updates to a few watchers are hardly delayed") {
    const outcome paced =
        play(milliseconds(10), std::chrono::microseconds(500), std::chrono::seconds(5), true);
    CHECK(paced.longest_delay <= milliseconds(6));
}

TEST_CASE("a single change is sent at once") {
    update_pacing pacing;
    CHECK(wait_before_update(pacing, start) == duration::zero());
    record_update(pacing, start, start + milliseconds(20));
    CHECK(wait_before_update(pacing, start + std::chrono::seconds(1)) == duration::zero());
}

// Guards against a process that was suspended during an update and then sends none for long.
TEST_CASE("an update that took very long delays the next one by a bounded time") {
    update_pacing pacing;
    record_update(pacing, start, start + std::chrono::seconds(30));
    CHECK(wait_before_update(pacing, start + std::chrono::seconds(30)) <= milliseconds(200));
}
