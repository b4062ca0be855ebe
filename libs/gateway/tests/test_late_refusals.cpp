// Streams whose upstream pauses while the upstream that is to take over refuses the request late.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fixture.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

// Guards against an answer given up for an upstream that has the request and refuses it later.
TEST_CASE("a stream is not given up for an upstream that refuses it late") {
    const scripted_upstream refusing(
        {{milliseconds(350), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"}});
    for (const bool reports_load : {true, false}) {
        CAPTURE(reports_load);
        const scripted_upstream paused(stream_with_pause(milliseconds(reports_load ? 1900 : 1500)));
        fixture f(deployment::repeatability::streaming, "m");
        dispatch::upstream first = make_upstream("u1", paused.address(), "m");
        if (!reports_load) {
            first.load.at = runtime::boot_now() - std::chrono::seconds(3);
            first.load.asked_at = first.load.at;
        }
        f.add(first);
        dispatch::upstream next = make_upstream("u2", refusing.address(), "m");
        // A longer queue makes the takeover begin earlier.
        next.unread_ms = 300;
        CHECK(is_whole_stream(f.answer([&] {
            std::this_thread::sleep_for(milliseconds(300));
            f.add(next);
        })));
        CHECK(paused.requests() == 1);
    }
    CHECK(refusing.requests() == 2);
}
