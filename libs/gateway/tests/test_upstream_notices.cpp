// Upstreams that say in their answers that they leave, or that they want no requests for some time,
// at a gateway that hears no announcement.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "faulty_upstream.h"
#include "request_state.h"
#include "runtime/clock.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using namespace burdockdeck::gateway::testing;
using deployment::repeatability;
using std::chrono::milliseconds;

namespace {

constexpr int further_requests = 20;

std::string served_call(const std::string& more_headers = "") {
    return "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\n" + more_headers +
           "Content-Length: 4\r\n\r\ndone";
}

std::string refusal(const std::string& more_headers) {
    return "HTTP/1.1 503 Full\r\nId: $ID\r\nNot-Run: 1\r\n" + more_headers +
           "Content-Length: 0\r\n\r\n";
}

std::string stream_of_one_event(const std::string& more_headers) {
    return "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\n" + more_headers +
           "Content-Type: text/event-stream\r\nContent-Length: 17\r\n\r\nid: 1\ndata: abc\n\n";
}

std::vector<scripted_answer> answers_after(const std::vector<scripted_answer>& first) {
    std::vector<scripted_answer> all = first;
    all.insert(all.end(), further_requests + 5, {served_call()});
    return all;
}

dispatch::upstream& upstream_at(core& c, std::uint16_t port) {
    return c.view.upstreams.at("u" + std::to_string(port));
}

// Number of requests that reached `upstream`, except the first `skipped` of all.
std::size_t count_at(const scripted_upstreams& s, std::size_t upstream, std::size_t skipped = 0) {
    std::size_t count = 0;
    for (std::size_t i = skipped; i < s.received().size(); ++i) {
        count += s.received()[i].upstream == upstream ? 1 : 0;
    }
    return count;
}

void call_repeatedly(gateway_under_test& g) {
    for (int i = 0; i < further_requests; ++i) {
        const std::string answer = g.call("n" + std::to_string(i));
        CHECK_MESSAGE(answer.starts_with("HTTP/1.1 200"), answer);
    }
}

// Resets the health records, so that a failure alone keeps no upstream from being chosen.
void forget_outcomes(gateway_under_test& g) {
    g.run([](core& c) {
        for (auto& [id, u] : c.view.upstreams) {
            u.health = {};
        }
    });
}

bool says_served(const std::string& answer) {
    return answer.starts_with("HTTP/1.1 200");
}

schema::upstream_announcement restart_of(const dispatch::upstream& u) {
    schema::upstream_announcement a;
    a.set_id(u.id);
    a.set_address(u.address);
    a.set_service(u.service);
    a.set_slots(u.slots);
    a.set_born_ms(u.born_ms + 1000);
    a.set_sequence(1);
    return a;
}

}  // namespace

// Guards against requests sent to an upstream whose leaving is known from its answers alone.
TEST_CASE("an upstream gets no request after an answer that says that it leaves") {
    const std::string leaving = "Leaving: 1\r\n";
    const std::vector<std::pair<repeatability, scripted_answer>> first_answers{
        {repeatability::idempotent, {served_call(leaving)}},
        {repeatability::idempotent, {refusal(leaving)}},
        {repeatability::streaming, {stream_of_one_event(leaving)}},
        {repeatability::idempotent,
         {"HTTP/1.1 500 Error\r\nId: $ID\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"}}};
    for (const auto& [kind, first] : first_answers) {
        CAPTURE(first.bytes);
        const scripted_upstreams upstreams(2, answers_after({first}));
        gateway_under_test g(upstreams.ports(), kind);
        (void)g.call("first");
        REQUIRE(!upstreams.received().empty());
        const std::size_t leaving_upstream = upstreams.received()[0].upstream;
        forget_outcomes(g);
        call_repeatedly(g);
        CHECK(count_at(upstreams, leaving_upstream) == 1);
    }
}

// Guards against a notice that is missed because its answer belongs to an earlier request.
TEST_CASE("a late answer to an earlier request says that its upstream leaves") {
    const std::string late =
        "HTTP/1.1 200 OK\r\nId: old\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno";
    const scripted_upstreams upstreams(2, answers_after({{late + served_call()}}));
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    CHECK(says_served(g.call("first")));
    const std::size_t leaving_upstream = upstreams.received()[0].upstream;
    call_repeatedly(g);
    CHECK(count_at(upstreams, leaving_upstream) == 1);
}

// Guards against a fallback to leaving upstreams where no other is left.
TEST_CASE("a request is refused rather than sent to a leaving upstream") {
    const scripted_upstreams upstreams(1, answers_after({}));
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    g.run([&](core& c) { upstream_at(c, upstreams.ports()[0]).leaving = true; });
    CHECK(g.call("r").starts_with("HTTP/1.1 503"));
    CHECK(upstreams.received().empty());
}

// Guards against a request sent on a choice from before the notice.
TEST_CASE(
    "a request that waits for a connection is not sent to an upstream that leaves meanwhile") {
    const scripted_upstreams upstreams(2, answers_after({}));
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    std::uint16_t chosen = 0;
    g.run_during_connect([&](core& c) {
        for (const std::uint16_t port : upstreams.ports()) {
            if (upstream_at(c, port).in_flight > 0) {
                chosen = port;
                upstream_at(c, port).leaving = true;
            }
        }
    });
    CHECK(says_served(g.call("r")));
    REQUIRE(chosen != 0);
    const auto received = upstreams.received();
    REQUIRE(received.size() == 1);
    CHECK(upstreams.ports()[received[0].upstream] != chosen);
}

// Guards against a restarted upstream that stays excluded because its earlier incarnation left.
TEST_CASE("an upstream that restarts under the same id gets requests again") {
    const scripted_upstreams upstreams(1, answers_after({{served_call("Leaving: 1\r\n")}}));
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    CHECK(says_served(g.call("first")));
    g.run([&](core& c) {
        const dispatch::upstream& u = upstream_at(c, upstreams.ports()[0]);
        CHECK(apply_announcement(c.view, restart_of(u), runtime::boot_now()));
    });
    call_repeatedly(g);
}

// Guards against an answer of the earlier incarnation that arrives after the restart is known.
TEST_CASE("a late answer of an earlier incarnation does not exclude the restarted upstream") {
    const scripted_upstreams upstreams(
        1, answers_after({{"", ending::keep, served_call("Leaving: 1\r\n"), milliseconds(200)}}));
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    std::thread restart([&] {
        std::this_thread::sleep_for(milliseconds(80));
        g.run([&](core& c) {
            const dispatch::upstream& u = upstream_at(c, upstreams.ports()[0]);
            CHECK(apply_announcement(c.view, restart_of(u), runtime::boot_now()));
        });
    });
    CHECK(says_served(g.call("first")));
    restart.join();
    call_repeatedly(g);
}

// Guards against a silent request that is taken over by an upstream that leaves during the connect.
TEST_CASE("a successor that leaves while the connection is made gets no request") {
    const scripted_upstreams upstreams(2, {});
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    std::atomic<bool> ended{false};
    std::atomic<bool> prepared{false};
    std::function<void(core&)> step = [&](core& c) {
        replace_silent_attempts(c, runtime::boot_now());
        for (const auto& weak_request : c.open_requests) {
            const auto r = weak_request.lock();
            if (r && r->successor != nullptr) {
                prepared = true;
                c.view.upstreams.at(r->successor->target.id).leaving = true;
            }
        }
        if (!ended) {
            c.traffic.post([&c, &step] { step(c); });
        }
    };
    g.run([&](core& c) { step(c); });
    CHECK(g.call("r").starts_with("HTTP/1.1 504"));
    ended = true;
    g.run([](core&) {});
    CHECK(prepared);
    CHECK(upstreams.received().size() == 1);
}

// Guards against requests sent to an upstream within the pause that it asked for.
TEST_CASE("a paused upstream gets no request, retries included, until its pause ends") {
    const scripted_upstreams upstreams(2, answers_after({{refusal("Pause-Ms: 1500\r\n")}}));
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    const time_point began = runtime::boot_now();
    CHECK(says_served(g.call("first")));
    const std::size_t paused = upstreams.received()[0].upstream;
    forget_outcomes(g);
    call_repeatedly(g);
    REQUIRE(runtime::boot_now() - began < milliseconds(1500));
    CHECK(count_at(upstreams, paused) == 1);
    std::this_thread::sleep_for(milliseconds(1600));
    g.run([&](core& c) { upstream_at(c, upstreams.ports()[1 - paused]).accepting = false; });
    CHECK(says_served(g.call("later")));
    CHECK(count_at(upstreams, paused) == 2);
}

// Guards against callers that wait, or come back too soon, where every upstream is paused.
TEST_CASE("if all upstreams are paused, callers are refused at once with the shortest pause") {
    const scripted_upstreams upstreams(
        2, answers_after({{refusal("Pause-Ms: 9000\r\n")}, {refusal("Pause-Ms: 5000\r\n")}}));
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    const auto come_back_ms = [](const std::string& answer) {
        const std::string name = "Come-Back-Ms: ";
        const std::size_t at = answer.find(name);
        return at == std::string::npos ? 0 : std::stoi(answer.substr(at + name.size()));
    };
    for (const char* id : {"first", "second", "third"}) {
        const time_point began = runtime::boot_now();
        const std::string answer = g.call(id);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(come_back_ms(answer) > 3000);
        CHECK(come_back_ms(answer) <= 5000);
        CHECK(runtime::boot_now() - began < milliseconds(900));
    }
    CHECK(upstreams.received().size() == 2);
}

// Guards against a burst whose requests were chosen before the refusal came.
TEST_CASE(
    "a request that waits for a connection is not sent to an upstream that is paused meanwhile") {
    const scripted_upstreams upstreams(2, answers_after({}));
    gateway_under_test g(upstreams.ports(), repeatability::non_idempotent);
    std::uint16_t chosen = 0;
    g.run_during_connect([&](core& c) {
        for (const std::uint16_t port : upstreams.ports()) {
            if (upstream_at(c, port).in_flight > 0) {
                chosen = port;
                dispatch::record_pause(upstream_at(c, port), milliseconds(5000),
                                       runtime::boot_now());
            }
        }
    });
    CHECK(says_served(g.call("r")));
    REQUIRE(chosen != 0);
    const auto received = upstreams.received();
    REQUIRE(received.size() == 1);
    CHECK(upstreams.ports()[received[0].upstream] != chosen);
}

// Guards against a restarted upstream that is held to the pause of its earlier incarnation.
TEST_CASE("a pause ends when the upstream restarts under the same id") {
    const scripted_upstreams upstreams(1, answers_after({{refusal("Pause-Ms: 9000\r\n")}}));
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    CHECK(g.call("first").starts_with("HTTP/1.1 503"));
    g.run([&](core& c) {
        const dispatch::upstream& u = upstream_at(c, upstreams.ports()[0]);
        CHECK(apply_announcement(c.view, restart_of(u), runtime::boot_now()));
    });
    call_repeatedly(g);
}
