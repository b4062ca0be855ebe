// Tests of the replacement of silent upstreams, against a naive version and in simulated requests.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "dispatch/takeover.h"

using namespace burdockdeck;
using namespace burdockdeck::dispatch;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds preparation_time{350};
// How often the steps are asked for.
constexpr milliseconds check_interval{25};

time_point at_ms(int ms) {
    return time_point{} + milliseconds(1'000'000 + ms);
}

int draw(std::mt19937& rng, int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(rng);
}

// Naive limit: tries each millisecond, and takes the last one from which a successor with twice its
// expected time is still in time for the caller.
std::optional<milliseconds> naive_limit(const silent_attempt& a, milliseconds successor_time) {
    if (a.reports_load && a.queued) {
        return std::nullopt;
    }
    milliseconds limit = std::chrono::duration_cast<milliseconds>(a.min_silence);
    if (!a.reports_load) {
        return limit;
    }
    while (limit + milliseconds(1) + preparation_time + 2 * successor_time <=
           a.caller_silence_timeout) {
        ++limit;
    }
    return limit;
}

silent_attempt random_attempt(std::mt19937& rng) {
    silent_attempt a;
    a.last_progress_at = at_ms(0);
    a.min_silence = milliseconds(draw(rng, 400, 1500));
    a.caller_silence_timeout = milliseconds(draw(rng, 0, 3) == 0 ? 0 : draw(rng, 2000, 4000));
    a.reports_load = draw(rng, 0, 1) == 1;
    a.queued = draw(rng, 0, 3) == 0;
    return a;
}

enum class successor_kind { absent, unreachable, refuses, answers, silent };

struct outcome {
    bool left = false;
    bool sent = false;
    bool withdrawn = false;
    // Time with two upstreams at work.
    milliseconds overlap{};
    // When the first data after the pause reached the caller; empty if none did.
    std::optional<milliseconds> resumed_after;
};

// Plays one request whose upstream pauses from 0 on for `pause`; the successor is sent the request
// as soon as the steps say so, and answers `answer_time` later.
outcome play(silent_attempt a, milliseconds pause, successor_kind kind, milliseconds expected,
             milliseconds answer_time) {
    outcome out;
    std::optional<takeover_candidate> successor;
    bool refused = false;
    for (milliseconds t{0}; t < milliseconds(8000); t += check_interval) {
        const time_point now = a.last_progress_at + t;
        if (!out.left && t >= pause) {
            silent_attempt resumed = a;
            resumed.last_progress_at = now;
            if (successor) {
                out.withdrawn = next_step(resumed, *successor) == takeover_step::withdraw;
                out.overlap = std::chrono::duration_cast<milliseconds>(now - successor->sent_at);
            }
            out.resumed_after = t;
            return out;
        }
        if (successor && kind == successor_kind::answers &&
            now >= successor->sent_at + answer_time) {
            successor->answers = true;
            if (out.left) {
                out.resumed_after = t;
                return out;
            }
        }
        if (successor && kind == successor_kind::refuses && !out.left) {
            successor.reset();
            refused = true;
        }
        if (out.left) {
            continue;
        }
        if (!successor) {
            const bool available = kind != successor_kind::absent && !refused;
            if (available && next_step(a, expected, now) == takeover_step::prepare &&
                kind != successor_kind::unreachable) {
                successor = takeover_candidate{now, false};
                out.sent = true;
            }
        } else if (next_step(a, *successor) == takeover_step::switch_over) {
            out.left = true;
            out.overlap = std::chrono::duration_cast<milliseconds>(now - successor->sent_at);
            if (successor->answers) {
                out.resumed_after = t;
                return out;
            }
        }
    }
    return out;
}

}  // namespace

TEST_CASE("the limit on silence equals that of the naive version") {
    const unsigned seed = 41;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    for (int i = 0; i < 2000; ++i) {
        const silent_attempt a = random_attempt(rng);
        const milliseconds successor_time(draw(rng, 0, 1500));
        const auto limit = silence_limit(a, successor_time);
        const auto naive = naive_limit(a, successor_time);
        REQUIRE(limit.has_value() == naive.has_value());
        if (limit) {
            REQUIRE(*limit == *naive);
            REQUIRE(*limit >= a.min_silence);
        }
    }
}

// Guards against an upstream that is left before its successor is certain.
TEST_CASE("a silent upstream is left only for a successor that has the request") {
    const unsigned seed = 42;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    int left = 0;
    int withdrawn = 0;
    for (int i = 0; i < 5000; ++i) {
        const silent_attempt a = random_attempt(rng);
        const milliseconds pause(draw(rng, 0, 3) == 0 ? 100'000 : draw(rng, 0, 4000));
        const auto kind = static_cast<successor_kind>(draw(rng, 0, 4));
        const milliseconds expected(draw(rng, 0, 600));
        const milliseconds answer_time(draw(rng, 0, 2 * static_cast<int>(expected.count())));
        const outcome o = play(a, pause, kind, expected, answer_time);
        CAPTURE(i);
        const auto limit = silence_limit(a, expected);
        if (kind == successor_kind::absent || kind == successor_kind::unreachable ||
            kind == successor_kind::refuses) {
            REQUIRE(!o.left);
        }
        if (!limit || pause <= *limit) {
            REQUIRE(!o.sent);
        }
        if (o.left) {
            REQUIRE(kind == successor_kind::answers);
        }
        if (o.sent && !o.left && o.resumed_after && kind != successor_kind::refuses) {
            REQUIRE(o.withdrawn);
        }
        // The successor's data arrives before the caller leaves.
        const bool in_time = limit && a.reports_load &&
                             a.caller_silence_timeout > duration::zero() && *limit > a.min_silence;
        if (kind == successor_kind::answers && in_time) {
            REQUIRE(o.resumed_after);
            REQUIRE(*o.resumed_after <= a.caller_silence_timeout);
        }
        left += o.left ? 1 : 0;
        withdrawn += o.withdrawn ? 1 : 0;
    }
    CHECK(left > 100);
    CHECK(withdrawn > 20);
}

TEST_CASE("a queued prompt is waited for while load reports arrive") {
    silent_attempt a;
    a.last_progress_at = at_ms(0);
    a.min_silence = milliseconds(450);
    a.caller_silence_timeout = milliseconds(2400);
    a.queued = true;
    a.reports_load = true;
    CHECK(next_step(a, milliseconds(10), at_ms(10'000)) == takeover_step::keep_waiting);
    a.reports_load = false;
    CHECK(next_step(a, milliseconds(10), at_ms(450)) == takeover_step::keep_waiting);
    CHECK(next_step(a, milliseconds(10), at_ms(451)) == takeover_step::prepare);
}
