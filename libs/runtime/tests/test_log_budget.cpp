// Tests which log lines are written and which are dropped when events exceed the budget.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "runtime/log_budget.h"

using namespace burdockdeck;
using namespace burdockdeck::runtime;

namespace {

constexpr std::uint64_t rate = 10'000;
constexpr std::size_t line_bytes = 200;
const time_point start{std::chrono::seconds(100)};

time_point after_ms(int ms) {
    return start + std::chrono::milliseconds(ms);
}

}  // namespace

TEST_CASE("written bytes never exceed the rate plus the burst") {
    log_budget b = make_log_budget(rate, start);
    std::size_t written = 0;
    constexpr int seconds = 20;
    for (int ms = 0; ms < 1000 * seconds; ++ms) {
        for (const line_priority p :
             {line_priority::served, line_priority::failed, line_priority::change}) {
            written += admit_line(b, "x", p, line_bytes, after_ms(ms)) ? line_bytes : 0;
        }
    }
    // Two seconds' bytes are in the full bucket at the start; two more may be overdrawn.
    CHECK(written <= rate * (seconds + 4));
    CHECK(written >= rate * seconds);
}

TEST_CASE("failures are logged while served requests exceed the rate ten times") {
    log_budget b = make_log_budget(rate, start);
    int failures_written = 0;
    int served_written = 0;
    for (int ms = 0; ms < 10'000; ms += 2) {
        served_written +=
            admit_line(b, "request_ended", line_priority::served, line_bytes, after_ms(ms));
        if (ms % 100 == 0) {
            failures_written +=
                admit_line(b, "attempt_failed", line_priority::failed, line_bytes, after_ms(ms));
        }
    }
    CHECK(failures_written == 100);
    CHECK(served_written > 0);
}

TEST_CASE("state changes are logged under a flood of failures") {
    log_budget b = make_log_budget(rate, start);
    int written = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        (void)admit_line(b, "attempt_failed", line_priority::failed, line_bytes, after_ms(ms));
        if (ms % 500 == 0) {
            written +=
                admit_line(b, "control_lost", line_priority::change, line_bytes, after_ms(ms));
        }
    }
    CHECK(written == 20);
}

TEST_CASE("dropped lines are counted by event and reported once a second") {
    log_budget b = make_log_budget(rate, start);
    int dropped = 0;
    for (int i = 0; i < 300; ++i) {
        dropped += !admit_line(b, "request_ended", line_priority::served, line_bytes, start);
    }
    record_dropped_line(b, "started");
    CHECK(dropped > 0);
    CHECK(take_dropped(b, after_ms(10)).empty());
    const auto report = take_dropped(b, after_ms(1000));
    REQUIRE(report.size() == 2);
    CHECK(report[0].event == "request_ended");
    CHECK(report[0].count == static_cast<std::uint64_t>(dropped));
    CHECK(report[1].event == "started");
    CHECK(report[1].count == 1);
    CHECK(take_dropped(b, after_ms(3000)).empty());
}

TEST_CASE("a clock that goes backwards neither fills nor empties the bucket") {
    log_budget b = make_log_budget(rate, start);
    CHECK(admit_line(b, "x", line_priority::change, line_bytes, start));
    const double available = b.available_bytes;
    CHECK(admit_line(b, "x", line_priority::change, line_bytes, start - std::chrono::hours(1)));
    CHECK(b.available_bytes == doctest::Approx(available - line_bytes));
}
