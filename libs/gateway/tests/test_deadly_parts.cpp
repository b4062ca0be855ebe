// A gateway on loopback in front of engines that crash when they begin to answer a prompt with one
// certain part.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <set>
#include <thread>

#include "core.h"
#include "quarantine.h"
#include "quarantine/news.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "session.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using std::chrono::milliseconds;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t deadly_part = 0xdead;
// Time in which an engine reads a prompt.
constexpr milliseconds short_reading_time{20};
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

std::vector<std::uint64_t> parse_parts(std::string_view text) {
    std::vector<std::uint64_t> out;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        out.push_back(std::stoull(std::string(text.substr(0, comma)), nullptr, 16));
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return out;
}

caller_protocol plain_protocol() {
    caller_protocol p;
    p.read_request = [](const header_list& headers) {
        request_facts facts;
        facts.id = find_header(headers, "Id");
        facts.needs.model = "m";
        for (const std::uint64_t part : parse_parts(find_header(headers, "Parts"))) {
            facts.needs.parts.push_back({part, 100});
            facts.needs.prompt_tokens += 100;
        }
        return facts;
    };
    p.is_reserved = [](std::string_view) { return false; };
    p.write_attempt_headers = [](header_list&, const attempt_header_values&) {};
    p.read_answer = [](unsigned, const header_list& headers) {
        answer_facts f;
        f.echoed_id = find_header(headers, "Id");
        f.signed_by_upstream = true;
        return f;
    };
    p.write_retry_after = [](header_list& headers, duration d) {
        headers.emplace_back("Retry-After", std::to_string(to_seconds(d)));
    };
    return p;
}

deployment::site one_route() {
    deployment::route r;
    r.name = "maps";
    r.host = "maps.example";
    r.prefix = "/";
    r.kind = deployment::repeatability::streaming;
    r.resumable = true;
    r.attempt_limit = 3;
    r.timeout = std::chrono::seconds(5);
    r.latency_objective = milliseconds(600);
    r.services = {{"llm", 1}};
    deployment::site s;
    s.version = 1;
    s.routes.push_back(r);
    s.services.emplace_back();
    s.services.back().name = "llm";
    return s;
}

tcp::endpoint any_port() {
    return {asio::ip::make_address("127.0.0.1"), 0};
}

// How an engine ends its answer to a prompt with the deadly part.
enum class crash_point {
    before_the_head,
    after_an_event,
    // The answer has neither a length nor chunks, and ends inside its second event.
    inside_an_unframed_event,
};

// Reads a prompt, then streams two events; closes all its connections when it answers a prompt with
// the deadly part, and serves again at once. Used on its loop only, except `port`.
class crashing_engine {
public:
    crashing_engine(asio::io_context& context, milliseconds reading_time, crash_point point)
        : context_(context),
          acceptor_(context, any_port()),
          reading_time_(reading_time),
          point_(point) {
        asio::co_spawn(context, accept(), asio::detached);
    }
    [[nodiscard]] std::uint16_t port() const {
        return acceptor_.local_endpoint().port();
    }
    std::atomic<int> deadly_requests{0};
    std::atomic<int> crashes{0};

private:
    asio::awaitable<void> accept() {
        while (true) {
            auto [failed, socket] = co_await acceptor_.async_accept(as_result);
            if (failed) {
                co_return;
            }
            auto s = std::make_shared<tcp::socket>(std::move(socket));
            open_.insert(s);
            asio::co_spawn(context_, serve(s), asio::detached);
        }
    }

    static std::string header_in(const std::string& head, const std::string& name) {
        const std::size_t at = head.find(name) + name.size();
        return head.substr(at, head.find("\r\n", at) - at);
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> s) {
        std::string text;
        while (s->is_open()) {
            const auto [failed, size] = co_await asio::async_read_until(
                *s, asio::dynamic_buffer(text), "\r\n\r\n", as_result);
            if (failed) {
                break;
            }
            const std::string head = text.substr(0, size);
            text.erase(0, size);
            const auto parts = parse_parts(header_in(head, "Parts: "));
            const bool deadly = std::count(parts.begin(), parts.end(), deadly_part) > 0;
            deadly_requests += deadly ? 1 : 0;
            asio::steady_timer timer(context_, reading_time_);
            (void)co_await timer.async_wait(as_result);
            const std::string answer_head = "HTTP/1.1 200 OK\r\nId: " + header_in(head, "Id: ") +
                                            "\r\nContent-Type: text/event-stream\r\n";
            const std::string begin = answer_head +
                                      "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: "
                                      "first\n\n\r\n";
            if (deadly) {
                const std::string text_before = point_ == crash_point::before_the_head ? ""
                                                : point_ == crash_point::after_an_event
                                                    ? begin
                                                    : answer_head + "\r\nid: 1\ndata: first\n\nid";
                (void)co_await asio::async_write(*s, asio::buffer(text_before), as_result);
                timer.expires_after(milliseconds(5));
                (void)co_await timer.async_wait(as_result);
                crash();
                co_return;
            }
            const std::string answer = begin + "12\r\nid: 2\ndata: last\n\n\r\n0\r\n\r\n";
            (void)co_await asio::async_write(*s, asio::buffer(answer), as_result);
        }
        open_.erase(s);
    }

    void crash() {
        ++crashes;
        for (const auto& s : open_) {
            boost::system::error_code ignored;
            s->close(ignored);
        }
        open_.clear();
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    milliseconds reading_time_;
    crash_point point_;
    std::set<std::shared_ptr<tcp::socket>> open_;
};

// Runs `work` on the traffic loop and waits for it.
template <class Work>
auto run_on_traffic_loop(core& c, Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto done = task.get_future();
    c.traffic.post([&task] { task(); });
    return done.get();
}

// A gateway, `engine_count` engines, and a caller that opens a connection for each request.
class fleet {
public:
    static constexpr std::size_t engine_count = 6;

    explicit fleet(milliseconds reading_time = short_reading_time,
                   crash_point point = crash_point::before_the_head)
        : front_(outside_, any_port()), work_(asio::make_work_guard(engine_context_)) {
        for (std::size_t i = 0; i < engine_count; ++i) {
            engines_.push_back(
                std::make_unique<crashing_engine>(engine_context_, reading_time, point));
        }
        engine_thread_ = std::thread([this] { engine_context_.run(); });
        gateway_settings settings;
        settings.name = "g1";
        auto access = runtime::rpc_access::create(settings.access);
        REQUIRE(succeeded(access));
        core_ = std::make_unique<core>(settings, plain_protocol(), value(access));
        run_on_traffic_loop(*core_, [this] {
            core_->view.current = one_route();
            (void)apply_services(core_->view, runtime::boot_now());
        });
        announce_engines();
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet() {
        core_.reset();
        engine_context_.stop();
        engine_thread_.join();
    }

    // Announces each engine under its present incarnation; it changes with each crash.
    void announce_engines() {
        run_on_traffic_loop(*core_, [this] {
            core_->view.software.versions["llm"] = {"v1"};
            for (std::size_t i = 0; i < engines_.size(); ++i) {
                schema::upstream_announcement a;
                a.set_id("e" + std::to_string(i));
                a.set_born_ms(1 + static_cast<std::uint64_t>(engines_[i]->crashes));
                a.set_sequence(++announced_);
                a.set_service("llm");
                a.set_software_version("v1");
                a.set_address("127.0.0.1:" + std::to_string(engines_[i]->port()));
                a.set_slots(64);
                a.add_models()->set_name("m");
                (void)apply_announcement(core_->view, a, runtime::boot_now());
            }
        });
    }

    // The whole answer to one request, read until the gateway closes the connection.
    std::string request(const std::string& parts) {
        tcp::socket caller(outside_);
        caller.connect(front_.local_endpoint());
        tcp::socket accepted(core_->traffic.context());
        front_.accept(accepted);
        auto s = std::make_shared<session>(*core_, std::move(accepted));
        runtime::spawn(core_->traffic, [s] { return s->run(); });
        s.reset();
        const std::string text =
            "GET /a HTTP/1.1\r\nHost: maps.example\r\nConnection: close\r\nId: r" +
            std::to_string(++requests_) + "\r\nParts: " + parts + "\r\n\r\n";
        asio::write(caller, asio::buffer(text));
        std::string answer;
        boost::system::error_code ended;
        asio::read(caller, asio::dynamic_buffer(answer), ended);
        announce_engines();
        return answer;
    }

    // Runs `work` on the traffic loop with the gateway's core.
    template <class Work>
    auto with_core(Work work) {
        return run_on_traffic_loop(*core_, [this, work] { return work(*core_); });
    }

    [[nodiscard]] int deadly_requests() const {
        int sum = 0;
        for (const auto& e : engines_) {
            sum += e->deadly_requests;
        }
        return sum;
    }

private:
    asio::io_context outside_;
    tcp::acceptor front_;
    asio::io_context engine_context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<crashing_engine>> engines_;
    std::thread engine_thread_;
    std::unique_ptr<core> core_;
    std::uint64_t announced_ = 0;
    int requests_ = 0;
};

bool has_status(const std::string& answer, const std::string& status) {
    return answer.starts_with("HTTP/1.1 " + status);
}

}  // namespace

// Guards against one request taking an engine with each of its attempts.
TEST_CASE("a request that may have crashed its engine is not sent to another one") {
    fleet f;
    CHECK(has_status(f.request("1,a1,1001"), "200"));
    const std::string answer = f.request("1,a2,dead,1002");
    CHECK(has_status(answer, "502"));
    CHECK(f.deadly_requests() == 1);
}

// Guards against requests with one prompt part that crash engines one after the other.
TEST_CASE("a prompt part that crashed engines is quarantined, others of its kind are served") {
    fleet f;
    CHECK(has_status(f.request("1,a1,1001"), "200"));
    CHECK(has_status(f.request("1,a2,1002"), "200"));
    for (int i = 0; i < 8; ++i) {
        const std::string subject = "b" + std::to_string(i);
        (void)f.request("1," + subject + ",dead,2" + std::to_string(i));
    }
    const int sent = f.deadly_requests();
    CHECK(sent <= 3);
    const std::string refused = f.request("1,a1,dead,3001");
    CHECK(has_status(refused, "503"));
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(f.deadly_requests() == sent);
    for (int i = 0; i < 8; ++i) {
        const std::string subject = "b" + std::to_string(i);
        CHECK(has_status(f.request("1," + subject + ",4" + std::to_string(i)), "200"));
    }
    CHECK(has_status(f.request("1,a1,5001"), "200"));
}

// Guards against a part that is cleared by the first events of the answers that crash engines.
TEST_CASE("a prompt part that crashes engines after events is quarantined") {
    for (const crash_point point :
         {crash_point::after_an_event, crash_point::inside_an_unframed_event}) {
        CAPTURE(static_cast<int>(point));
        fleet f(short_reading_time, point);
        CHECK(has_status(f.request("1,a1,1001"), "200"));
        // The caller gets the head and the event; the answer must not look complete.
        const std::string cut = f.request("1,a2,dead,1002");
        CHECK(has_status(cut, "200"));
        CHECK(cut.find("0\r\n\r\n") == std::string::npos);
        CHECK(f.deadly_requests() == 1);
        for (int i = 0; i < 8; ++i) {
            const std::string subject = "b" + std::to_string(i);
            (void)f.request("1," + subject + ",dead,2" + std::to_string(i));
        }
        const int sent = f.deadly_requests();
        CHECK(sent <= 3);
        CHECK(has_status(f.request("1,a1,dead,3001"), "503"));
        CHECK(f.deadly_requests() == sent);
        for (int i = 0; i < 8; ++i) {
            const std::string subject = "b" + std::to_string(i);
            CHECK(has_status(f.request("1," + subject + ",4" + std::to_string(i)), "200"));
        }
    }
}

// Guards against a part that takes engines from each gateway anew.
TEST_CASE("crashes that one gateway saw quarantine the part at another one") {
    fleet a;
    fleet b;
    a.with_core([&b](core& c) {
        c.send_crash_news = [&b](const schema::crash_news& news) {
            b.with_core([&news](core& other) {
                merge_crash_news(other, news, runtime::boot_now());
                return 0;
            });
        };
        return 0;
    });
    CHECK(has_status(a.request("1,a1,1001"), "200"));
    CHECK(has_status(b.request("1,a1,1002"), "200"));
    (void)a.request("1,a2,dead,2001");
    (void)a.request("1,a3,dead,2002");
    // Crashes are shared some milliseconds later.
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(has_status(b.request("1,a4,dead,2003"), "503"));
    CHECK(b.deadly_requests() == 0);
    CHECK(has_status(b.request("1,a2,2004"), "200"));
}

// Guards against engines that are lost to requests that were sent before the part was known.
TEST_CASE("a request that an engine still reads is ended when its part is quarantined") {
    fleet f(milliseconds(4000));
    const auto began = std::chrono::steady_clock::now();
    std::thread crashes_elsewhere([&f] {
        while (f.deadly_requests() == 0) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        quarantine::table other;
        const time_point now = runtime::boot_now();
        quarantine::record_crash(other, {"x1", 1}, {1, 0xa2, deadly_part}, now - milliseconds(500));
        quarantine::record_crash(other, {"x2", 1}, {1, 0xa3, deadly_part}, now);
        const schema::crash_news news = quarantine::news_since(other, 0, now);
        f.with_core([&news](core& c) {
            merge_crash_news(c, news, runtime::boot_now());
            return 0;
        });
    });
    const std::string answer = f.request("1,a4,dead,3001");
    crashes_elsewhere.join();
    CHECK(has_status(answer, "502"));
    CHECK(f.deadly_requests() == 1);
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(2000));
}
