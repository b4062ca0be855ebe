// Tests of the HTTP client with a server that answers with given bytes: answers without length, and
// bytes that belong to no request.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>
#include <vector>

#include "runtime/http.h"

using namespace burdockdeck;
using namespace burdockdeck::runtime;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

enum class ending { keep, close, reset };

struct raw_answer {
    std::string bytes;
    ending end = ending::keep;
    // Written 20 ms after `bytes`.
    std::string late_bytes = "";
};

// The n-th request on any connection gets the n-th answer; later requests are never answered.
class raw_server {
public:
    explicit raw_server(std::vector<raw_answer> answers)
        : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          answers_(std::move(answers)) {
        asio::co_spawn(context_, accept(), asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server() {
        context_.stop();
        thread_.join();
    }
    [[nodiscard]] settings::endpoint address() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

private:
    asio::awaitable<void> accept() {
        while (true) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> pause() {
        asio::steady_timer timer(context_, milliseconds(20));
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> serve(tcp::socket socket) {
        std::string buffer;
        while (true) {
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
            buffer.erase(0, size);
            const std::size_t number = requests_++;
            if (number >= answers_.size()) {
                continue;
            }
            const raw_answer& a = answers_[number];
            co_await asio::async_write(socket, asio::buffer(a.bytes), asio::use_awaitable);
            co_await pause();
            co_await asio::async_write(socket, asio::buffer(a.late_bytes), asio::use_awaitable);
            if (a.end == ending::reset) {
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            if (a.end != ending::keep) {
                socket.close();
                co_return;
            }
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::vector<raw_answer> answers_;
    std::size_t requests_ = 0;
    std::thread thread_;
};

// Makes one call after the other with one client, with a pause between them.
std::vector<result<http_response, http_error>> fetch_all(const raw_server& server, int calls) {
    loop event_loop("test");
    auto client = std::make_unique<http_client>(event_loop, server.address());
    std::vector<result<http_response, http_error>> out;
    std::promise<void> done;
    spawn(event_loop, [&]() -> asio::awaitable<void> {
        for (int i = 0; i < calls; ++i) {
            http_call_options options;
            options.timeout = milliseconds(500);
            http_request request;
            out.push_back(co_await client->fetch(request, options));
            co_await sleep_for(milliseconds(60));
        }
        client.reset();
        done.set_value();
    });
    done.get_future().get();
    event_loop.stop();
    return out;
}

std::string answer_with(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

// Guards against an answer that is taken for that to the next call: a server that answers an
// earlier call once more on a kept connection.
TEST_CASE("bytes after a complete answer are not taken for the answer to the next call") {
    const std::vector<raw_answer> first_answers{
        {answer_with("one"), ending::keep, answer_with("again")},
        {answer_with("one") + answer_with("again").substr(0, 10), ending::keep,
         answer_with("again").substr(10)},
        {answer_with("one") + answer_with("again")},
    };
    for (const raw_answer& first : first_answers) {
        const raw_server server({first, {answer_with("two")}});
        const auto answers = fetch_all(server, 2);
        REQUIRE(succeeded(answers[0]));
        CHECK(value(answers[0]).body == "one");
        REQUIRE(succeeded(answers[1]));
        CHECK(value(answers[1]).body == "two");
    }
}

TEST_CASE("an answer without length is whole if closed, and an error if reset") {
    for (const std::string& head :
         {std::string("HTTP/1.1 200 OK\r\n\r\n"), std::string("HTTP/1.0 200 OK\r\n\r\n")}) {
        const raw_server server(
            {{head + "one", ending::close}, {head + "one", ending::reset}, {answer_with("two")}});
        const auto answers = fetch_all(server, 3);
        REQUIRE(succeeded(answers[0]));
        CHECK(value(answers[0]).body == "one");
        CHECK(!succeeded(answers[1]));
        REQUIRE(succeeded(answers[2]));
        CHECK(value(answers[2]).body == "two");
    }
}

// Guards against a short answer that is taken for a whole one.
TEST_CASE("an answer that is cut off is an error") {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& cut :
         {std::string(), std::string("HTTP/1.1 2"), head, head + "Content-Len", head + "\r",
          head + "Content-Length: 4\r\n\r\n", head + "Content-Length: 4\r\n\r\ndon", head + chunked,
          head + chunked + "4\r\ndo", head + chunked + "4\r\ndone\r\n"}) {
        INFO(cut);
        const raw_server server({{cut, ending::close}, {cut, ending::reset}});
        for (const auto& answer : fetch_all(server, 2)) {
            CHECK(!succeeded(answer));
        }
    }
}

// Guards against bodies that are framed wrongly, and other texts that are no answer.
TEST_CASE("an answer whose head is none is an error") {
    for (const std::string& head :
         {std::string("HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 9\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\n")}) {
        INFO(head);
        const raw_server server({{head + "done", ending::close}});
        CHECK(!succeeded(fetch_all(server, 1)[0]));
    }
}
