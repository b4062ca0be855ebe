// Tests with upstreams that send an endless head or body until the connection is closed: the
// exchange must fail before its time-out and with bounded memory.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "connection_pool.h"
#include "event_splitter.h"
#include "exchange.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using std::chrono::milliseconds;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr milliseconds attempt_timeout{500};
// An attempt may end this long after its time-out.
constexpr milliseconds timeout_slack{400};
// Most bytes that an upstream may have sent when the exchange ends; far below the gateway's memory.
constexpr std::size_t max_sent_bytes = 8 * 1024 * 1024;

// Answers one request with `begin`, then with `repeated` until the connection is closed.
class endless_upstream {
public:
    endless_upstream(std::string begin, std::string repeated, milliseconds pause)
        : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          thread_([this, begin = std::move(begin), repeated = std::move(repeated), pause] {
              serve(begin, repeated, pause);
          }) {}
    endless_upstream(const endless_upstream&) = delete;
    endless_upstream& operator=(const endless_upstream&) = delete;
    ~endless_upstream() {
        thread_.join();
    }

    [[nodiscard]] settings::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }
    [[nodiscard]] std::size_t sent() const {
        return sent_;
    }

private:
    void serve(const std::string& begin, const std::string& repeated, milliseconds pause) {
        tcp::socket socket(context_);
        acceptor_.accept(socket);
        asio::streambuf head;
        boost::system::error_code failed;
        asio::read_until(socket, head, "\r\n\r\n", failed);
        asio::write(socket, asio::buffer(begin), failed);
        while (!failed) {
            sent_ += asio::write(socket, asio::buffer(repeated), failed);
            std::this_thread::sleep_for(pause);
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<std::size_t> sent_{0};
    std::thread thread_;
};

struct exchange_result {
    send_status sent = send_status::not_sent;
    body_status body = body_status::more;
    std::size_t body_bytes = 0;
    milliseconds took{0};
};

caller_protocol plain_protocol() {
    caller_protocol p;
    p.read_answer = [](unsigned, const header_list& headers) {
        answer_facts f;
        f.echoed_id = std::string(find_header(headers, "Id"));
        return f;
    };
    return p;
}

// Makes one exchange with the upstream, reading its body for at most `attempt_timeout`.
exchange_result run_exchange(const endless_upstream& upstream) {
    asio::io_context context;
    const caller_protocol protocol = plain_protocol();
    exchange_result out;
    const auto run = [&]() -> asio::awaitable<void> {
        auto connected = co_await connect(context, upstream.address(), milliseconds(500));
        REQUIRE(succeeded(connected));
        exchange e(value(connected), protocol);
        const std::string body;
        outgoing_request r;
        r.method = "GET";
        r.target = "/";
        r.body = &body;
        r.request_id = "mine";
        const auto began = std::chrono::steady_clock::now();
        out.sent = co_await e.send(r, attempt_timeout);
        std::string bytes;
        while (out.sent == send_status::answered && out.body == body_status::more &&
               std::chrono::steady_clock::now() - began < attempt_timeout) {
            out.body = co_await e.read(bytes, attempt_timeout);
        }
        out.body_bytes = bytes.size();
        e.abort();
        out.took =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - began);
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    return out;
}

}  // namespace

TEST_CASE("an endless head ends the exchange") {
    const endless_upstream one_line("HTTP/1.1 200 ", std::string(4096, 'x'), milliseconds(0));
    const exchange_result a = run_exchange(one_line);
    CHECK(a.sent == send_status::no_answer);
    CHECK(a.took < attempt_timeout + timeout_slack);
    const endless_upstream many_lines("HTTP/1.1 200 OK\r\n", "More: and more\r\n", milliseconds(0));
    const exchange_result b = run_exchange(many_lines);
    CHECK(b.sent == send_status::no_answer);
    CHECK(b.took < attempt_timeout + timeout_slack);
    const endless_upstream trickle("HTTP/1.1 200 OK\r\nMore: ", "x", milliseconds(20));
    const exchange_result c = run_exchange(trickle);
    CHECK(c.sent == send_status::no_answer);
    CHECK(c.took < attempt_timeout + timeout_slack);
}

TEST_CASE("endless interim answers end the exchange, even if each arrives in time") {
    const endless_upstream fast("", "HTTP/1.1 100 Continue\r\n\r\n", milliseconds(0));
    const exchange_result a = run_exchange(fast);
    CHECK(a.sent == send_status::no_answer);
    CHECK(a.took < attempt_timeout + timeout_slack);
    const endless_upstream slow("", "HTTP/1.1 102 Processing\r\n\r\n", milliseconds(300));
    const exchange_result b = run_exchange(slow);
    CHECK(b.sent == send_status::no_answer);
    CHECK(b.took < attempt_timeout + timeout_slack);
}

TEST_CASE("an endless answer to another request ends the exchange, also if it arrives slowly") {
    const std::string head = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n";
    const endless_upstream fast(head, "1000\r\n" + std::string(4096, 'x') + "\r\n",
                                milliseconds(0));
    const exchange_result a = run_exchange(fast);
    CHECK(a.sent == send_status::no_answer);
    CHECK(a.took < attempt_timeout + timeout_slack);
    CHECK(fast.sent() < max_sent_bytes);
    const endless_upstream slow(head, "1\r\nx\r\n", milliseconds(50));
    const exchange_result b = run_exchange(slow);
    CHECK(b.sent == send_status::no_answer);
    CHECK(b.took < attempt_timeout + timeout_slack);
}

TEST_CASE("an endless chunk size line is not buffered without limit") {
    const std::string head = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    const endless_upstream upstream(head, std::string(4096, 'x'), milliseconds(0));
    const exchange_result s = run_exchange(upstream);
    CHECK(s.body == body_status::broken);
    CHECK(upstream.sent() < max_sent_bytes);
}

TEST_CASE("endless trailers are not buffered without limit") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    const endless_upstream upstream(head, "More: and more\r\n", milliseconds(0));
    const exchange_result s = run_exchange(upstream);
    CHECK(s.body == body_status::broken);
    CHECK(upstream.sent() < max_sent_bytes);
}
