// Which log lines are kept under more events than the budget allows.
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

TEST_CASE("Written bytes stay under the rate and a burst, whatever the load") {
    log_budget b = make_log_budget(rate, start);
    std::size_t written = 0;
    constexpr int seconds = 20;
    for (int ms = 0; ms < 1000 * seconds; ++ms) {
        for (const line_worth w : {line_worth::served, line_worth::failed, line_worth::change}) {
            written += admit_line(b, "x", w, line_bytes, after_ms(ms)) ? line_bytes : 0;
        }
    }
    // The burst of two seconds, once saved up and once overdrawn.
    CHECK(written <= rate * (seconds + 4));
    CHECK(written >= rate * seconds);
}

TEST_CASE("Lines of failures are kept while served requests fill the rate ten times over") {
    log_budget b = make_log_budget(rate, start);
    int failures_kept = 0;
    int served_kept = 0;
    for (int ms = 0; ms < 10'000; ms += 2) {
        served_kept += admit_line(b, "request_ended", line_worth::served, line_bytes, after_ms(ms));
        if (ms % 100 == 0) {
            failures_kept +=
                admit_line(b, "attempt_failed", line_worth::failed, line_bytes, after_ms(ms));
        }
    }
    CHECK(failures_kept == 100);
    CHECK(served_kept > 0);
}

TEST_CASE("A storm of failures does not crowd out changes of belief") {
    log_budget b = make_log_budget(rate, start);
    int kept = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
        (void)admit_line(b, "attempt_failed", line_worth::failed, line_bytes, after_ms(ms));
        if (ms % 500 == 0) {
            kept += admit_line(b, "control_lost", line_worth::change, line_bytes, after_ms(ms));
        }
    }
    CHECK(kept == 20);
}

TEST_CASE("What was left out is counted by event and told once a second") {
    log_budget b = make_log_budget(rate, start);
    int left_out = 0;
    for (int i = 0; i < 300; ++i) {
        left_out += !admit_line(b, "request_ended", line_worth::served, line_bytes, start);
    }
    note_unwritten(b, "started");
    CHECK(left_out > 0);
    CHECK(take_omitted(b, after_ms(10)).empty());
    const auto told = take_omitted(b, after_ms(1000));
    REQUIRE(told.size() == 2);
    CHECK(told[0].event == "request_ended");
    CHECK(told[0].count == static_cast<std::uint64_t>(left_out));
    CHECK(told[1].event == "started");
    CHECK(told[1].count == 1);
    CHECK(take_omitted(b, after_ms(3000)).empty());
}

TEST_CASE("A clock that goes back neither fills nor empties the bucket") {
    log_budget b = make_log_budget(rate, start);
    CHECK(admit_line(b, "x", line_worth::change, line_bytes, start));
    const double left = b.left_bytes;
    CHECK(admit_line(b, "x", line_worth::change, line_bytes, start - std::chrono::hours(1)));
    CHECK(b.left_bytes == doctest::Approx(left - line_bytes));
}
