// Tests of log lines, trace headers, metrics text, and HTTP between the server and the client,
// including truncated answers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/task_times.h"
#include "runtime/trace.h"

using namespace burdockdeck;
using namespace burdockdeck::runtime;
namespace asio = boost::asio;

namespace {

std::uint16_t free_port() {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

// Longer than a caller needs to connect, send and close.
constexpr std::chrono::milliseconds stall{300};

asio::awaitable<void> answer(http_exchange& e) {
    http_response head;
    if (e.request().path() == "/stream") {
        (void)co_await e.begin(head);
        (void)co_await e.write("one");
        (void)co_await e.write("two");
        (void)co_await e.finish();
    } else if (e.request().path() == "/cut") {
        (void)co_await e.begin(head);
        (void)co_await e.write("one");
    } else {
        http_response echo;
        echo.body = e.request().body;
        (void)co_await e.respond(std::move(echo));
    }
}

struct server_fixture {
    loop_pool loops{"test", 2};
    settings::endpoint address{"127.0.0.1", free_port()};
    std::unique_ptr<http_server> server;
    server_fixture() {
        http_limits limits;
        limits.body_bytes = 1000;
        limits.header_bytes = 1000;
        auto listening = http_server::listen(address, loops, limits, answer);
        REQUIRE(succeeded(listening));
        server = std::move(value(listening));
    }
    ~server_fixture() {
        server->stop_accepting();
        loops.stop();
    }

    result<http_response, http_error> fetch(http_request request) {
        std::promise<result<http_response, http_error>> done;
        http_client client(*loops.all().front(), address);
        const http_call_options options;
        spawn(*loops.all().front(), [&]() -> asio::awaitable<void> {
            done.set_value(co_await client.fetch(request, options));
        });
        return done.get_future().get();
    }

    std::string send_raw(const std::string& bytes) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address(address.ip), address.port});
        asio::write(socket, asio::buffer(bytes));
        std::string out;
        boost::system::error_code failed;
        asio::read(socket, asio::dynamic_buffer(out), failed);
        return out;
    }
};

}  // namespace

TEST_CASE("log values with spaces or quotes are quoted") {
    CHECK(format_event(event::started, {{"a", 1}, {"b", "x y"}, {"c", "say \"no\""}}) ==
          "event=started a=1 b=\"x y\" c=\"say \\\"no\\\"\"");
    for (const auto& [e, name] : event_names) {
        CHECK(name_in(event_names, e) == name);
    }
}

TEST_CASE("trace headers are parsed and passed on, and malformed ones are refused") {
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto parent = parse_traceparent(header);
    REQUIRE(parent);
    CHECK(to_traceparent(*parent) == header);
    const trace_context child = child_of(parent);
    CHECK(child.trace_id == parent->trace_id);
    CHECK(child.span_id != parent->span_id);
    CHECK(!parse_traceparent("00-xyz"));
    CHECK(!parse_traceparent("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
}

TEST_CASE("the task that held a loop longest is named, without the tasks inside it") {
    (void)take_task_times();
    CHECK(describe_longest(take_task_times()).empty());
    {
        const timed_task outer("outer");
        const timed_task inner("inner");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const task_times times = take_task_times();
    REQUIRE(times.size() == 2);
    CHECK(times.at("inner").elapsed >= std::chrono::milliseconds(20));
    CHECK(times.at("outer").elapsed < times.at("inner").elapsed);
    CHECK(describe_longest(times).starts_with("inner runs=1 sum_ms="));
    CHECK(take_task_times().empty());
}

TEST_CASE("metrics are exported as Prometheus text") {
    metrics m;
    m.count("requests_total", "outcome=completed");
    m.observe("latency_seconds", std::chrono::milliseconds(3));
    const std::string text = m.to_text();
    CHECK(text.find("requests_total{outcome=\"completed\"} 1") != std::string::npos);
    CHECK(text.find("latency_seconds_count 1") != std::string::npos);
}

TEST_CASE_FIXTURE(server_fixture,
                  "complete and streamed answers arrive; a truncated one is an error") {
    const auto complete = fetch({"POST", "/", {}, "hello"});
    REQUIRE(succeeded(complete));
    CHECK(value(complete).body == "hello");
    CHECK(value(fetch({"GET", "/stream", {}, ""})).body == "onetwo");
    const auto truncated = fetch({"GET", "/cut", {}, ""});
    REQUIRE(!succeeded(truncated));
    CHECK(!error(truncated).not_sent);
}

TEST_CASE_FIXTURE(server_fixture,
                  "malformed and oversized requests are refused with 400, 431 or 413") {
    CHECK(send_raw("NONSENSE\r\n\r\n").find(" 400 ") != std::string::npos);
    CHECK(send_raw("GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n").find(" 431 ") !=
          std::string::npos);
    const std::string large = send_raw("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    CHECK(large.find(" 413 ") != std::string::npos);
    CHECK(large.find("not_run") != std::string::npos);
}

// Guards against work that is begun for callers that left while the process stood still.
TEST_CASE("a caller's close is known before the loop has reported it") {
    loop_pool loops("test", 1);
    const settings::endpoint address{"127.0.0.1", free_port()};
    std::promise<bool> before;
    std::promise<bool> after;
    auto server =
        http_server::listen(address, loops, {}, [&](http_exchange& e) -> asio::awaitable<void> {
            e.watch_caller([] {});
            before.set_value(e.caller_left());
            std::this_thread::sleep_for(stall);
            after.set_value(e.caller_left());
            co_return;
        });
    REQUIRE(succeeded(server));
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address(address.ip), address.port});
    // The first bytes of a next request stand before the close.
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\nGET")));
    CHECK(!before.get_future().get());
    caller.close();
    CHECK(after.get_future().get());
    value(server)->stop_accepting();
    loops.stop();
}

TEST_CASE("a listen error names the address, and a refused connection counts as not sent") {
    loop_pool loops("test", 1);
    const settings::endpoint address{"127.0.0.1", free_port()};
    {
        std::promise<bool> not_sent;
        http_client client(*loops.all().front(), address);
        spawn(*loops.all().front(), [&]() -> asio::awaitable<void> {
            const http_request request;
            const http_call_options options;
            const auto r = co_await client.fetch(request, options);
            not_sent.set_value(!succeeded(r) && error(r).not_sent);
        });
        CHECK(not_sent.get_future().get());
    }
    auto first = http_server::listen(address, loops, {}, answer);
    REQUIRE(succeeded(first));
    auto second = http_server::listen(address, loops, {}, answer);
    REQUIRE(!succeeded(second));
    CHECK(error(second).message.find(to_text(address)) != std::string::npos);
    loops.stop();
}
