// Answers without a length whose connection fails. Such an answer ends with its connection, and the
// kernel reports an error of the connection once: to a read, to a write, or to a look at what has
// arrived. The reads after it look like an orderly end.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <thread>

#include "exchange.h"
#include "faulty_upstream.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway::testing;
using deployment::repeatability;
using std::chrono::milliseconds;

namespace {

// Longer than what the kernel takes for a connection whose peer does not read.
const std::string long_body(24 * 1024 * 1024, 'x');

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Type: text/event-stream\r\n";
const std::string two_events = "id: 0\ndata: x0\n\nid: 1\ndata: x1\n\n";
const std::string two_of_five_bytes = "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\n\r\nab";

// The answer to a long upload whose upstream answers at once and resets the connection while the
// upload is still being written.
std::string answer_to_upload(repeatability kind, const std::string& bytes) {
    const scripted_upstreams upstreams(1, {{bytes, ending::reset, "", milliseconds(0), true}});
    gateway_under_test g(upstreams.ports(), kind);
    const std::string answer = g.call("r1", long_body);
    CHECK(upstreams.received().size() == 1);
    return answer;
}

// Runs `use` with an exchange on the traffic loop whose upstream sends the head of an answer
// without length, and one event, and then resets the connection.
template <class Use>
void with_reset_exchange(Use use) {
    const scripted_upstreams upstreams(1,
                                       {{stream_head + "\r\nid: 0\ndata: x0\n\n", ending::reset}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    std::promise<void> done;
    g.run([&](gateway::core& c) {
        runtime::spawn(c.traffic, [&]() -> asio::awaitable<void> {
            const settings::endpoint to{"127.0.0.1", upstreams.ports()[0]};
            auto connected = co_await gateway::connect(c.traffic.context(), to, milliseconds(500));
            gateway::exchange e(value(connected), c.protocol);
            const std::string no_body;
            gateway::outgoing_request out{"GET", "/a", {{"Id", "r1"}}, &no_body, "r1"};
            CHECK(co_await e.send(out, milliseconds(500)) == gateway::send_status::answered);
            std::string body;
            CHECK(co_await e.read(body, milliseconds(500)) == gateway::body_status::more);
            // The reset arrives while nothing is being read.
            std::this_thread::sleep_for(milliseconds(150));
            co_await use(e, body);
            done.set_value();
        });
    });
    done.get_future().get();
}

}  // namespace

// Guards against the report of a stream that ended as complete after a part of its events: the
// write of the upload met the reset, and the read after it an orderly end.
TEST_CASE("a stream that is reset during its upload is not complete") {
    for (const repeatability kind : {repeatability::streaming, repeatability::idempotent}) {
        const std::string answer = answer_to_upload(kind, stream_head + "\r\n" + two_events);
        INFO(answer);
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    }
}

// Guards against the report of a part of an answer that was passed on as a complete one.
TEST_CASE("a call that is reset during its upload is not complete") {
    for (const repeatability kind : {repeatability::idempotent, repeatability::non_idempotent}) {
        const std::string answer = answer_to_upload(kind, two_of_five_bytes);
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 502"));
    }
}

// An upstream may refuse before it has read a long body; the length shows that this is all of it.
TEST_CASE("an early answer with a length is passed on though its upload is reset") {
    const std::string refusal =
        "HTTP/1.1 413 Too Large\r\nId: $ID\r\nSignature: s\r\nContent-Length: 4\r\n\r\nlong";
    const std::string answer = answer_to_upload(repeatability::non_idempotent, refusal);
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(answer.ends_with("long"));
}

// Guards against a takeover that looks for unread bytes and takes the error away.
TEST_CASE("a reset that a look at the connection has met ends no answer") {
    with_reset_exchange([](gateway::exchange& e, std::string& body) -> asio::awaitable<void> {
        CHECK_FALSE(e.has_unread_bytes());
        CHECK(co_await e.read(body, milliseconds(500)) == gateway::body_status::broken);
        CHECK(e.ended_by() == gateway::end_cause::upstream_reset);
    });
}

// Guards against any other call that takes the error away, such as one for an option of the socket.
TEST_CASE("a reset that no call of the gateway has met ends no answer") {
    int descriptors_seen = 0;
    with_reset_exchange([&](gateway::exchange& e, std::string& body) -> asio::awaitable<void> {
        for (int fd = 3; fd < 256; ++fd) {
            int error = 0;
            socklen_t size = sizeof error;
            if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0) {
                ++descriptors_seen;
            }
        }
        CHECK(co_await e.read(body, milliseconds(500)) == gateway::body_status::broken);
    });
    CHECK(descriptors_seen == 1);
}

TEST_CASE("an answer without length is complete at an orderly end") {
    const scripted_upstreams upstreams(1, {{stream_head + "\r\n" + two_events, ending::close}});
    gateway_under_test g(upstreams.ports(), repeatability::streaming);
    CHECK(g.call("r1").ends_with("0\r\n\r\n"));
    const scripted_upstreams plain(1, {{two_of_five_bytes, ending::close}});
    gateway_under_test h(plain.ports(), repeatability::non_idempotent);
    const std::string answer = h.call("r1");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("ab"));
}
