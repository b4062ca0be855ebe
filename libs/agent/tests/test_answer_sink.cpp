// Tests of how an upstream's answer becomes that of its attempt.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "answer_sink.h"

using namespace burdockdeck;
using namespace burdockdeck::agent;

namespace {

constexpr std::size_t limit_bytes = 1024;
const runtime::header_list event_stream{{"Content-Type", "text/event-stream"},
                                        {"Transfer-Encoding", "chunked"}};

std::shared_ptr<attempt> streamed_attempt() {
    rpc::run_request r;
    r.set_kind(rpc::work_completion);
    r.set_stream(true);
    return std::make_shared<attempt>(1, r);
}

}  // namespace

// Guards against a stream that ends as completed although its upstream broke off inside an event.
TEST_CASE("a stream that ends inside an event is not complete") {
    const std::shared_ptr<attempt> a = streamed_attempt();
    answer_sink sink(a, limit_bytes);
    sink.head(200, event_stream);
    const std::string whole = "data: one\n\n";
    REQUIRE(sink.body(whole + "data: tw"));
    CHECK(!sink.finish());
    CHECK(a->answer_bytes() == whole.size());
    CHECK(a->events() == 1);
}

TEST_CASE("a stream without length is complete after an event, not before the first one") {
    const std::shared_ptr<attempt> a = streamed_attempt();
    answer_sink empty(a, limit_bytes);
    empty.head(200, {{"Content-Type", "text/event-stream"}});
    CHECK(!empty.finish());
    answer_sink one_event(a, limit_bytes);
    one_event.head(200, {{"Content-Type", "text/event-stream"}});
    REQUIRE(one_event.body("data: one\n\n"));
    CHECK(one_event.finish());
}

TEST_CASE("a stream whose lines end with CRLF is complete after an event") {
    const std::shared_ptr<attempt> a = streamed_attempt();
    answer_sink sink(a, limit_bytes);
    sink.head(200, event_stream);
    const std::string whole = "data: one\r\n\r\n";
    REQUIRE(sink.body(whole));
    CHECK(sink.finish());
    CHECK(a->answer_bytes() == whole.size());
}
