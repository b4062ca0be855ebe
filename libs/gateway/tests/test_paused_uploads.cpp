// Requests with long bodies whose upstream pauses before it reads them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>

#include "fixture.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;

// Guards against a connection given up because its upstream pauses with a full receive buffer.
TEST_CASE("a long body is sent to an upstream that pauses before it reads it") {
    // More than the kernels of both sides buffer.
    const std::string body(1024 * 1024, 'x');
    asio::io_context outside;
    tcp::acceptor acceptor(outside, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    fixture f(deployment::repeatability::non_idempotent, "");
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    f.add(make_upstream("u1", address, ""));
    tcp::socket caller = f.connect_caller(outside);
    asio::write(caller, asio::buffer("POST /a HTTP/1.1\r\nHost: maps.example\r\nConnection: "
                                     "close\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body));
    tcp::socket upstream = acceptor.accept();
    std::this_thread::sleep_for(milliseconds(2600));
    std::string received;
    boost::system::error_code failed;
    const std::size_t head =
        asio::read_until(upstream, asio::dynamic_buffer(received), "\r\n\r\n", failed);
    if (!failed && received.size() < head + body.size()) {
        asio::read(upstream, asio::dynamic_buffer(received),
                   asio::transfer_exactly(head + body.size() - received.size()), failed);
    }
    CHECK_FALSE(failed);
    asio::write(upstream,
                asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                failed);
    std::string answer;
    asio::read(caller, asio::dynamic_buffer(answer), failed);
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}
