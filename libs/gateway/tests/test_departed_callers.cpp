// Callers that close their connection before they are answered: nothing is sent for them
// afterwards, and their upstream is left.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <thread>

#include "faulty_upstream.h"
#include "fixture.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using deployment::repeatability;
using testing::gateway_under_test;
using testing::scripted_upstreams;

namespace {

// Callers that left are to be noticed within this time.
constexpr milliseconds notice_time{500};

const std::string served =
    "HTTP/1.1 200 OK\r\nId: $ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";

void wait_for_requests(const scripted_upstreams& upstreams, std::size_t count) {
    const time_point until = runtime::boot_now() + std::chrono::seconds(3);
    while (upstreams.received().size() < count && runtime::boot_now() < until) {
        std::this_thread::sleep_for(milliseconds(2));
    }
}

// Accepts one connection with small buffers and reads nothing from it before `read_all`.
class slow_reader {
public:
    slow_reader() : acceptor_(context_) {
        const tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(any.protocol());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
        acceptor_.bind(any);
        acceptor_.listen();
    }
    [[nodiscard]] std::uint16_t port() const {
        return acceptor_.local_endpoint().port();
    }
    tcp::socket accept() {
        return acceptor_.accept();
    }
    // Bytes that arrive until the connection ends.
    static std::size_t read_all(tcp::socket& socket) {
        std::size_t all = 0;
        std::array<char, 16 * 1024> some{};
        boost::system::error_code ended;
        while (!ended) {
            all += socket.read_some(asio::buffer(some), ended);
        }
        return all;
    }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
};

}  // namespace

// Guards against a close that stays unseen behind the bytes of an early next request.
TEST_CASE("an upstream is left when its caller closes behind the bytes of a next request") {
    const scripted_upstream upstream({{std::chrono::seconds(5), "late"}});
    fixture f(repeatability::idempotent, "");
    f.add(make_upstream("u1", upstream.address(), ""));
    asio::io_context outside;
    tcp::socket caller = f.send_request(outside);
    std::this_thread::sleep_for(milliseconds(100));
    asio::write(caller, asio::buffer(std::string("GET /b HTTP/1.1\r\n")));
    std::this_thread::sleep_for(milliseconds(100));
    caller.close();
    const time_point closed_at = runtime::boot_now();
    while (upstream.closed_early_at() == time_point{} &&
           runtime::boot_now() - closed_at < 3 * notice_time) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    REQUIRE(upstream.closed_early_at() != time_point{});
    CHECK(upstream.closed_early_at() - closed_at < notice_time);
}

// Guards against a request sent on although its caller's close had arrived together with it.
TEST_CASE("a request that is read after its caller has left is not sent") {
    for (const repeatability kind :
         {repeatability::idempotent, repeatability::non_idempotent, repeatability::streaming}) {
        const scripted_upstreams upstreams(1, {{served}, {served}});
        gateway_under_test g(upstreams.ports(), kind);
        // Leaves an idle connection, so that nothing delays the next request.
        CHECK(g.call("first").starts_with("HTTP/1.1 200"));
        g.run([&](core&) {
            // The loop stands still meanwhile.
            tcp::socket caller = g.begin_call("left");
            caller.close();
            std::this_thread::sleep_for(milliseconds(50));
        });
        std::this_thread::sleep_for(milliseconds(300));
        CHECK(upstreams.received().size() == 1);
    }
}

// Guards against a second upstream that gets the request of a caller whose close has arrived.
TEST_CASE("a caller's request goes to no successor after the caller has left") {
    const scripted_upstreams upstreams(2, {{served}});
    gateway_under_test g(upstreams.ports(), repeatability::idempotent);
    const auto use_only = [&](std::size_t used) {
        g.run([&](core& c) {
            for (auto& [id, u] : c.view.upstreams) {
                u.accepting = id == "u" + std::to_string(upstreams.ports()[used]);
            }
        });
    };
    // Leaves an idle connection to the later successor.
    use_only(1);
    CHECK(g.call("first").starts_with("HTTP/1.1 200"));
    use_only(0);
    tcp::socket caller = g.begin_call("left");
    wait_for_requests(upstreams, 2);
    std::this_thread::sleep_for(milliseconds(1000));
    g.run([&](core& c) {
        for (auto& [id, u] : c.view.upstreams) {
            u.accepting = true;
        }
        // The close arrives while the loop is busy.
        caller.close();
        std::this_thread::sleep_for(milliseconds(50));
        replace_silent_attempts(c, runtime::boot_now());
    });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(upstreams.received().size() == 2);
}

// Guards against a request that the kernel still delivers after the gateway has given it up.
TEST_CASE("an upstream that reads late does not get the request of a caller that has left") {
    const std::string body(48 * 1024, 'x');
    slow_reader upstream;
    gateway_under_test g({upstream.port()}, repeatability::idempotent);
    tcp::socket caller = g.begin_call("left", body);
    tcp::socket socket = upstream.accept();
    std::this_thread::sleep_for(milliseconds(200));
    caller.close();
    std::this_thread::sleep_for(notice_time);
    CHECK(slow_reader::read_all(socket) < body.size());
}
