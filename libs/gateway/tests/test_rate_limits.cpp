// Upstreams that state in their answers how many requests a second they take from all gateways, at
// a gateway that is the only one and reaches no control instance.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <thread>

#include "faulty_upstream.h"
#include "runtime/clock.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using namespace burdockdeck::gateway::testing;
using deployment::repeatability;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t many = 400;

scripted_answer served_call(const std::string& more_headers = "") {
    return {"HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\n" + more_headers +
            "Content-Length: 4\r\n\r\ndone"};
}

std::vector<std::uint16_t> ports_of(const scripted_upstreams& a, const scripted_upstreams& b) {
    std::vector<std::uint16_t> all = a.ports();
    all.push_back(b.ports().front());
    return all;
}

bool says_served(const std::string& answer) {
    return answer.starts_with("HTTP/1.1 200");
}

}  // namespace

// Guards against more requests to an upstream than the limit that it states.
TEST_CASE("an upstream gets no more requests than the limit in its answers") {
    constexpr double limit = 2;
    constexpr milliseconds window{4000};
    // What operators allow in 4 s.
    constexpr double allowed = 1.5 * limit * 4 + 5;
    const scripted_upstreams limited(1, {many, served_call("Limit: 2\r\n")});
    const scripted_upstreams other(1, {many, served_call()});
    gateway_under_test g(ports_of(limited, other), repeatability::idempotent);
    // The limited upstream is preferred whenever it may be used.
    g.run([&](core& c) {
        c.view.upstreams.at("u" + std::to_string(other.ports().front())).health.errors = 0.5;
    });
    const time_point until = runtime::boot_now() + window;
    std::size_t calls = 0;
    while (runtime::boot_now() < until) {
        CHECK(says_served(g.call("n" + std::to_string(calls++))));
        std::this_thread::sleep_for(milliseconds(25));
    }
    MESSAGE(limited.received().size() << " of " << calls << " calls, allowed " << allowed);
    CHECK(static_cast<double>(limited.received().size()) <= allowed);
    // The limit is used, too.
    CHECK(limited.received().size() >= 6);
}

TEST_CASE("a limit ends with the first answer that does not state it") {
    std::vector<scripted_answer> answers{served_call("Limit: 2\r\n")};
    answers.insert(answers.end(), many, served_call());
    const scripted_upstreams upstream(1, answers);
    gateway_under_test g(upstream.ports(), repeatability::idempotent);
    for (int i = 0; i < 20; ++i) {
        CHECK(says_served(g.call("n" + std::to_string(i))));
    }
}

// Guards against callers that wait for an upstream at its limit until their deadline.
TEST_CASE("a request that no limit leaves room for is refused at once with a time to come back") {
    const scripted_upstreams upstream(1, {many, served_call("Limit: 0.2\r\n")});
    gateway_under_test g(upstream.ports(), repeatability::idempotent);
    const time_point begun_at = runtime::boot_now();
    CHECK(says_served(g.call("first")));
    CHECK(says_served(g.call("second")));
    const duration two_served = runtime::boot_now() - begun_at;
    const time_point sent_at = runtime::boot_now();
    const std::string answer = g.call("third");
    CHECK(runtime::boot_now() - sent_at < two_served + milliseconds(200));
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
    CHECK_MESSAGE(answer.find("Come-Back-Ms: ") != std::string::npos, answer);
    CHECK(upstream.received().size() == 2);
}
