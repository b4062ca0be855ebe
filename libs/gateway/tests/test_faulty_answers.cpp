// Tests with upstreams whose answers are repeated, cut off or no answers to the request. Callers
// must not be told that a request has not run unless its own answer says so, and must never receive
// an incomplete answer framed as complete.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "faulty_upstream.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway::testing;
using deployment::repeatability;
using std::chrono::milliseconds;

namespace {

const std::string served_call =
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone";
const std::string refusal_without_id =
    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

std::string refusal_of(const std::string& id) {
    return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

unsigned status_of(const std::string& answer) {
    return answer.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(answer.substr(9, 3)));
}

}  // namespace

// Guards against a 503 for a request that an upstream runs: an earlier refusal that the upstream
// writes once more on a kept connection says nothing about the next request.
TEST_CASE("a repeated refusal is not taken for the answer to the next request") {
    for (const std::string& repeated : {refusal_without_id, refusal_of("r1")}) {
        const scripted_upstreams upstreams(1, {{served_call}, {repeated + served_call}});
        gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
        REQUIRE(status_of(g.call("r1")) == 200);
        const std::string answer = g.call("r2");
        CHECK_MESSAGE(status_of(answer) == 200, answer);
    }
}

// Guards against a second send of a request that must not run twice, after a refusal that does not
// carry the request's id.
TEST_CASE("a refusal without the request's id does not permit a second send") {
    const scripted_upstreams upstreams(2, {{refusal_without_id, ending::close}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    const std::string answer = g.call("r1");
    CHECK_MESSAGE(status_of(answer) == 502, answer);
    CHECK(upstreams.received().size() == 1);
}

TEST_CASE("a refusal with the request's id permits a second send") {
    const scripted_upstreams upstreams(2, {{refusal_of("$ID")}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    const std::string answer = g.call("r1");
    CHECK_MESSAGE(status_of(answer) == 200, answer);
    CHECK(upstreams.received().size() == 2);
}

TEST_CASE("a refusal that waits on a kept connection closes that connection") {
    const scripted_upstreams upstreams(
        1, {{served_call, ending::keep, refusal_of("$ID"), milliseconds(20)}, {served_call}});
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    REQUIRE(status_of(g.call("r1")) == 200);
    std::this_thread::sleep_for(milliseconds(100));
    const std::string answer = g.call("r2");
    CHECK_MESSAGE(status_of(answer) == 200, answer);
}
