// Destroys a gateway while a request is being served. Guards against accesses to destroyed members,
// which the address sanitizer detects.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <thread>

#include "core.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "session.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

caller_protocol plain_protocol() {
    caller_protocol p;
    p.read_request = [](const header_list&) {
        request_facts facts;
        facts.id = "r1";
        return facts;
    };
    p.is_reserved = [](std::string_view) { return false; };
    p.write_attempt_headers = [](header_list&, const attempt_header_values&) {};
    p.read_answer = [](unsigned, const header_list&) { return answer_facts{}; };
    p.write_retry_after = [](header_list&, duration) {};
    return p;
}

deployment::site one_route() {
    deployment::route r;
    r.name = "orders";
    r.host = "shop.example";
    r.prefix = "/";
    r.timeout = std::chrono::seconds(30);
    r.latency_objective = std::chrono::milliseconds(300);
    r.services = {{"orders", 1}};
    deployment::site s;
    s.version = 1;
    s.routes.push_back(r);
    s.services.emplace_back();
    s.services.back().name = "orders";
    return s;
}

void add_upstream(core& c, const tcp::endpoint& at) {
    dispatch::upstream u;
    u.id = "u1";
    u.service = "orders";
    u.address = "127.0.0.1:" + std::to_string(at.port());
    u.slots = 6;
    c.view.upstreams.emplace(u.id, u);
}

tcp::endpoint any_port() {
    return {asio::ip::make_address("127.0.0.1"), 0};
}

// Runs `work` on the traffic loop and waits for it.
template <class Work>
auto run_on_traffic_loop(core& c, Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto done = task.get_future();
    c.traffic.post([&task] { task(); });
    return done.get();
}

}  // namespace

TEST_CASE("a gateway destroyed during a request accesses no destroyed state") {
    asio::io_context outside;
    // Accepts connections and never answers.
    tcp::acceptor upstream(outside, any_port());
    tcp::acceptor front(outside, any_port());
    tcp::socket caller(outside);

    gateway_settings settings;
    settings.name = "g1";
    settings.access = {};
    auto access = runtime::rpc_access::create(settings.access);
    REQUIRE(succeeded(access));
    auto c = std::make_unique<core>(settings, plain_protocol(), value(access));
    run_on_traffic_loop(*c, [&] {
        c->view.current = one_route();
        add_upstream(*c, upstream.local_endpoint());
    });

    caller.connect(front.local_endpoint());
    tcp::socket accepted(c->traffic.context());
    front.accept(accepted);
    auto s = std::make_shared<session>(*c, std::move(accepted));
    runtime::spawn(c->traffic, [s] { return s->run(); });
    s.reset();
    asio::write(caller, asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: shop.example\r\n\r\n")));
    tcp::socket sent = upstream.accept();
    std::string first(1, '\0');
    asio::read(sent, asio::buffer(first));
    CHECK(first == "G");
    CHECK(run_on_traffic_loop(*c, [&] { return c->view.upstreams.at("u1").in_flight; }) == 1);

    c.reset();
    // The upstream's end of the connection is closed.
    boost::system::error_code ended;
    std::string rest(4096, '\0');
    while (!ended) {
        (void)sent.read_some(asio::buffer(rest), ended);
    }
    CHECK(ended);
}
