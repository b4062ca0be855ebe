// What a draining gateway counts as open, and which connections it closes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <netinet/tcp.h>

#include <boost/asio/read.hpp>

#include "drain.h"
#include "fixture.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

namespace {

const std::string ok_answer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";

std::uint32_t active_requests(fixture& f) {
    return run_on_traffic_loop(*f.c, [&] { return f.c->active_requests; });
}

// Waits up to a second until `count` requests are active.
bool becomes_active(fixture& f, std::uint32_t count) {
    for (int i = 0; i < 100 && active_requests(f) != count; ++i) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return active_requests(f) == count;
}

std::string read_all(tcp::socket& caller) {
    std::string all;
    boost::system::error_code ended;
    asio::read(caller, asio::dynamic_buffer(all), ended);
    return all;
}

unsigned user_timeout_ms(const upstream_connection& c) {
    unsigned ms = 0;
    socklen_t size = sizeof ms;
    auto& stream = const_cast<upstream_connection&>(c).stream;
    REQUIRE(::getsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
                         &size) == 0);
    return ms;
}

}  // namespace

// Guards against a process that exits while the rest of a request arrives.
TEST_CASE("a request counts as active from its first byte on") {
    const scripted_upstream u({{milliseconds(0), ok_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", u.address(), ""));
    asio::io_context outside;
    tcp::socket caller = f.connect_caller(outside);
    CHECK(becomes_active(f, 0));
    asio::write(caller, asio::buffer(std::string("POST /a HTTP/1.1\r\nHost: maps.example\r\n"
                                                 "Content-Length: 4\r\n\r\nab")));
    CHECK(becomes_active(f, 1));
    asio::write(caller, asio::buffer(std::string("cd")));
    std::string head;
    asio::read_until(caller, asio::dynamic_buffer(head), "ok");
    // The connection stays open and has no request.
    CHECK(becomes_active(f, 0));
}

// Guards against a process that exits before the caller has the end of its answer.
TEST_CASE("a request counts as active until its connection is closed") {
    const scripted_upstream u({{milliseconds(0), ok_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", u.address(), ""));
    asio::io_context outside;
    tcp::socket caller = f.send_request(outside);
    CHECK(read_all(caller).ends_with("ok"));
    // The caller has not closed its end, so unread bytes may still come.
    CHECK(active_requests(f) == 1);
    caller.close();
    CHECK(becomes_active(f, 0));
}

// Guards against a connection closed as idle although a request has arrived on it.
TEST_CASE("a request that has arrived is served although the gateway closes idle connections") {
    const scripted_upstream u({{milliseconds(0), ok_answer}});
    fixture f(deployment::repeatability::idempotent, "");
    f.add(make_upstream("u1", u.address(), ""));
    asio::io_context outside;
    tcp::acceptor front(outside, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    tcp::socket caller(outside);
    caller.connect(front.local_endpoint());
    tcp::socket accepted(f.c->traffic.context());
    front.accept(accepted);
    auto s = std::make_shared<session>(*f.c, std::move(accepted));
    runtime::spawn(f.c->traffic, [s] { return s->run(); });
    CHECK(becomes_active(f, 0));
    run_on_traffic_loop(*f.c, [&] {
        asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: maps.example\r\n"
                                                     "Connection: close\r\n\r\n")));
        std::this_thread::sleep_for(milliseconds(20));
        s->close_if_idle();
    });
    s.reset();
    CHECK(read_all(caller).ends_with("ok"));
}

// Guards against requests whose connection is closed without an answer at the end of the grace
// time.
TEST_CASE("a request that is open when the grace time ends is answered with an error") {
    for (const auto kind :
         {deployment::repeatability::idempotent, deployment::repeatability::non_idempotent,
          deployment::repeatability::streaming}) {
        const scripted_upstream u({{std::chrono::seconds(5), ok_answer}});
        const scripted_upstream other({{std::chrono::seconds(5), ok_answer}});
        fixture f(kind, "");
        f.add(make_upstream("u1", u.address(), ""));
        f.add(make_upstream("u2", other.address(), ""));
        const std::string answer = f.answer([&] {
            std::this_thread::sleep_for(milliseconds(200));
            run_on_traffic_loop(*f.c, [&] { end_unanswered_requests(*f.c, runtime::boot_now()); });
        });
        CHECK_MESSAGE(answer.starts_with("HTTP/1.1 502"), answer);
        CHECK(u.requests() + other.requests() == 1);
    }
}

// Guards against a begun answer whose connection fails before the caller's patience ends.
TEST_CASE("the kernel's limit on silence follows the caller's patience while an answer is read") {
    asio::io_context context;
    const tcp::acceptor peer(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto c = std::make_shared<upstream_connection>(context);
    c->stream.socket().connect(peer.local_endpoint());
    set_liveness(c->stream.socket(), milliseconds(1500));
    tolerate_silence(*c, milliseconds(1000));
    CHECK(user_timeout_ms(*c) == 1500);
    tolerate_silence(*c, milliseconds(2900));
    CHECK(user_timeout_ms(*c) == 2900);
    connection_pool pool;
    keep(pool, c, runtime::boot_now());
    CHECK(user_timeout_ms(*c) == 1500);
}
