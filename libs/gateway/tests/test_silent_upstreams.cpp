// Streams and calls whose upstream pauses and then goes on, at a gateway that has no other upstream
// to send them to.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "fixture.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

namespace {

const std::string not_run_answer =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno";
const std::string error_answer =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno";
const std::string ok_answer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";

// An upstream whose load reports have stopped arriving.
dispatch::upstream make_lost_upstream(const std::string& id, const std::string& address,
                                      const std::string& model) {
    dispatch::upstream u = make_upstream(id, address, model);
    u.load.at = runtime::boot_now() - std::chrono::seconds(3);
    u.load.asked_at = u.load.at;
    return u;
}

void add_later(fixture& f, const dispatch::upstream& u) {
    std::this_thread::sleep_for(milliseconds(300));
    f.add(u);
}

}  // namespace

// Guards against a begun answer cut off because its upstream paused and no other one has the model.
TEST_CASE("a stream whose only upstream pauses reaches its caller whole") {
    for (const milliseconds pause : {milliseconds(1300), milliseconds(1600), milliseconds(1900)}) {
        CAPTURE(pause.count());
        const scripted_upstream paused(stream_with_pause(pause));
        fixture f(deployment::repeatability::streaming, "m");
        f.add(make_upstream("u1", paused.address(), "m"));
        CHECK(is_whole_stream(f.answer()));
        CHECK(paused.requests() == 1);
    }
}

// Guards against the same cut while the gateway drains.
TEST_CASE("a draining gateway does not cut a stream whose upstream pauses") {
    const scripted_upstream paused(stream_with_pause(milliseconds(1600)));
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_upstream("u1", paused.address(), "m"));
    CHECK(is_whole_stream(f.answer([&] {
        std::this_thread::sleep_for(milliseconds(300));
        run_on_traffic_loop(*f.c, [&] {
            f.c->draining_since = runtime::boot_now();
            f.c->draining = true;
        });
    })));
}

// Guards against an answer given up for an upstream that cannot be reached.
TEST_CASE("a stream is not given up for an upstream that refuses connections") {
    const scripted_upstream paused(stream_with_pause(milliseconds(1600)));
    fixture f(deployment::repeatability::streaming, "m");
    dispatch::upstream first = make_upstream("u1", paused.address(), "m");
    f.add(first);
    CHECK(is_whole_stream(f.answer([&] {
        std::this_thread::sleep_for(milliseconds(300));
        f.add(make_upstream("u2", "127.0.0.1:1", "m"));
    })));
}

// Guards against an answer given up although the retry budget allows no other attempt.
TEST_CASE("a stream is not given up when the retry budget is spent") {
    const scripted_upstream paused(stream_with_pause(milliseconds(1600)));
    const scripted_upstream other(stream_with_pause(milliseconds(0)));
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_upstream("u1", paused.address(), "m"));
    CHECK(is_whole_stream(f.answer([&] {
        std::this_thread::sleep_for(milliseconds(300));
        f.add(make_upstream("u2", other.address(), "m"));
        run_on_traffic_loop(*f.c, [&] {
            for (int i = 0; i < 1000; ++i) {
                dispatch::record_send(f.c->budgets["maps"], f.c->settings.budget, true,
                                      runtime::boot_now());
            }
        });
    })));
    CHECK(other.requests() == 0);
}

// Guards against a failure in place of an answer that the only upstream was about to give.
TEST_CASE("an idempotent call waits for its only upstream") {
    const scripted_upstream slow({{milliseconds(900), ok_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", slow.address(), ""));
    const std::string answer = f.answer();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("ok"));
}

// Guards against an answer given up for an upstream that then refuses the request.
TEST_CASE("a stream is not given up for an upstream that answers that it does not run it") {
    const scripted_upstream paused(stream_with_pause(milliseconds(1900)));
    const scripted_upstream full({{milliseconds(0), not_run_answer}});
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_lost_upstream("u1", paused.address(), "m"));
    CHECK(
        is_whole_stream(f.answer([&] { add_later(f, make_upstream("u2", full.address(), "m")); })));
    CHECK(full.requests() == 1);
    CHECK(paused.requests() == 1);
}

// Guards against a request given up at an engine that reports load but has not answered yet.
TEST_CASE("a stream whose upstream pauses before its first event reaches its caller whole") {
    const scripted_upstream headless({{milliseconds(1600), stream_head + chunk(event(1))},
                                      {milliseconds(0), chunk(event(2)) + chunk(event(3))},
                                      {milliseconds(0), chunk(event(4)) + "0\r\n\r\n"}});
    const scripted_upstream head_first({{milliseconds(0), stream_head},
                                        {milliseconds(1600), chunk(event(1)) + chunk(event(2))},
                                        {milliseconds(0), chunk(event(3))},
                                        {milliseconds(0), chunk(event(4)) + "0\r\n\r\n"}});
    for (const scripted_upstream* u : {&headless, &head_first}) {
        for (const bool lost : {false, true}) {
            CAPTURE(lost);
            fixture f(deployment::repeatability::streaming, "m");
            f.add(lost ? make_lost_upstream("u1", u->address(), "m")
                       : make_upstream("u1", u->address(), "m"));
            CHECK(is_whole_stream(f.answer()));
        }
    }
}

// Guards against a stream that nobody continues, repeats or joins after its upstream fell silent
// for good.
TEST_CASE("an upstream that is silent for good is replaced in the middle of a stream") {
    for (const bool lost : {false, true}) {
        CAPTURE(lost);
        const scripted_upstream silent(stream_with_pause(milliseconds(5000)));
        const scripted_upstream next({{milliseconds(0), stream_head + chunk(event(3))},
                                      {milliseconds(20), chunk(event(4)) + "0\r\n\r\n"}});
        fixture f(deployment::repeatability::streaming, "m");
        f.add(lost ? make_lost_upstream("u1", silent.address(), "m")
                   : make_upstream("u1", silent.address(), "m"));
        const time_point began = runtime::boot_now();
        CHECK(is_whole_stream(
            f.answer([&] { add_later(f, make_upstream("u2", next.address(), "m")); })));
        // The caller would have left after its own limit.
        CHECK(runtime::boot_now() - began < milliseconds(2400));
        CHECK(next.requests() == 1);
        CHECK(count_of(next.last_request(), "Last-Event-Id: 2") == 1);
        CHECK(silent.closed_early_at() != time_point{});
        // Two engines may work on one request for this long at most.
        CHECK(silent.closed_early_at() - next.received_at() < milliseconds(400));
    }
}

// Guards against a stream left for a replacement that has not begun to answer, and against two
// runs of it afterwards.
TEST_CASE("the silent upstream is left as soon as its replacement answers, not before") {
    const scripted_upstream silent(stream_with_pause(milliseconds(5000)));
    const scripted_upstream next({{milliseconds(700), stream_head + chunk(event(3))},
                                  {milliseconds(20), chunk(event(4)) + "0\r\n\r\n"}});
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_lost_upstream("u1", silent.address(), "m"));
    CHECK(
        is_whole_stream(f.answer([&] { add_later(f, make_upstream("u2", next.address(), "m")); })));
    CHECK(silent.closed_early_at() != time_point{});
    const duration answered_after = milliseconds(700);
    CHECK(silent.closed_early_at() - next.received_at() >= answered_after);
    CHECK(silent.closed_early_at() - next.received_at() < answered_after + milliseconds(400));
}

// Guards against a switch away from an engine that pauses and whose load reports still arrive.
TEST_CASE("a pause of an engine that reports its load is waited for") {
    const scripted_upstream paused(stream_with_pause(milliseconds(1300)));
    const scripted_upstream next(stream_with_pause(milliseconds(0)));
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_upstream("u1", paused.address(), "m"));
    CHECK(
        is_whole_stream(f.answer([&] { add_later(f, make_upstream("u2", next.address(), "m")); })));
    CHECK(next.requests() == 0);
}

// Guards against a failure in place of a slow answer when another upstream refuses the call.
TEST_CASE("an idempotent call is not given up for an upstream that refuses it") {
    const scripted_upstream slow({{milliseconds(1200), ok_answer}});
    const scripted_upstream full({{milliseconds(0), not_run_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", slow.address(), ""));
    const std::string answer =
        f.answer([&] { add_later(f, make_upstream("u2", full.address(), "")); });
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(full.requests() == 1);
}

// Guards against the failure of a slow upstream passed on while its replacement works on the call.
TEST_CASE("an idempotent call that fails at a silent upstream is answered by its replacement") {
    const scripted_upstream failing({{milliseconds(1000), error_answer}});
    const scripted_upstream next({{milliseconds(900), ok_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", failing.address(), ""));
    const std::string answer =
        f.answer([&] { add_later(f, make_upstream("u2", next.address(), "")); });
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(next.requests() == 1);
}

// Guards against calls that stay at a silent upstream although another one answers.
TEST_CASE("an idempotent call whose upstream is silent is answered by another one") {
    const scripted_upstream silent({{milliseconds(5000), ok_answer}});
    const scripted_upstream next({{milliseconds(10), ok_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", silent.address(), ""));
    const time_point began = runtime::boot_now();
    const std::string answer =
        f.answer([&] { add_later(f, make_upstream("u2", next.address(), "")); });
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(runtime::boot_now() - began < std::chrono::seconds(1));
    CHECK(next.requests() == 1);
}

// Guards against events that are missing, repeated or joined when an upstream goes on or breaks off
// at the moment of its replacement.
TEST_CASE("streams stay whole whenever the silent upstream goes on or breaks off") {
    const unsigned seed = 31;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const auto draw = [&](int from, int to) {
        return milliseconds(std::uniform_int_distribution<int>(from, to)(rng));
    };
    constexpr int rounds = 4;
    constexpr int streams_per_round = 12;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::future<std::string>> answers;
        for (int i = 0; i < streams_per_round; ++i) {
            std::vector<piece> pieces = stream_with_pause(draw(1050, 1600));
            if (i % 3 == 0) {
                // The connection ends in place of the third event.
                pieces[1].bytes.clear();
                pieces.resize(2);
            }
            const milliseconds head_after = draw(0, 400);
            answers.push_back(std::async(std::launch::async, [pieces, head_after] {
                const scripted_upstream silent(pieces);
                const scripted_upstream next({{head_after, stream_head + chunk(event(3))},
                                              {milliseconds(20), chunk(event(4)) + "0\r\n\r\n"}});
                fixture f(deployment::repeatability::streaming, "m");
                f.add(make_lost_upstream("u1", silent.address(), "m"));
                return f.answer([&] { add_later(f, make_upstream("u2", next.address(), "m")); });
            }));
        }
        for (auto& a : answers) {
            const std::string answer = a.get();
            CAPTURE(answer);
            CHECK(is_whole_stream(answer));
        }
    }
}

// Guards against work that goes on after its caller has left, at either upstream.
TEST_CASE("both upstreams are left when the caller leaves during a takeover") {
    const scripted_upstream silent(stream_with_pause(milliseconds(5000)));
    const scripted_upstream next({{milliseconds(5000), stream_head + chunk(event(3))}});
    fixture f(deployment::repeatability::streaming, "m");
    f.add(make_lost_upstream("u1", silent.address(), "m"));
    f.send_and_leave([&] {
        add_later(f, make_upstream("u2", next.address(), "m"));
        while (next.requests() == 0) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(silent.closed_early_at() != time_point{});
    CHECK(next.closed_early_at() != time_point{});
}

// Guards against a begun answer cut off before its deadline by the margin for errors.
TEST_CASE("a begun answer has until its deadline, an error until shortly before") {
    request_state r;
    const time_point now{std::chrono::seconds(10)};
    r.finish_by = now + milliseconds(500);
    CHECK(time_left(r, now) == milliseconds(480));
    r.head_sent = true;
    CHECK(time_left(r, now) == milliseconds(500));
}
