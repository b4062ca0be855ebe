// A gateway on the loopback interface with stand-ins for its caller and its upstreams, for tests.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <future>
#include <thread>

#include "answer_cut.h"
#include "core.h"
#include "request.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "session.h"
#include "takeover.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// How often the gateway checks for silent upstreams.
inline constexpr milliseconds check_interval{125};

inline caller_protocol plain_protocol(const std::string& model) {
    caller_protocol p;
    p.read_request = [model](const header_list&) {
        request_facts facts;
        facts.id = "r1";
        facts.needs.model = model;
        facts.needs.prompt_tokens = 100;
        facts.needs.output_tokens = 12;
        return facts;
    };
    p.is_reserved = [](std::string_view) { return false; };
    p.write_attempt_headers = [](header_list& out, const attempt_header_values& v) {
        if (v.last_event_id) {
            out.emplace_back("Last-Event-Id", std::to_string(*v.last_event_id));
        }
    };
    p.read_answer = [](unsigned status, const header_list&) {
        answer_facts f;
        f.echoed_id = "r1";
        f.signed_by_upstream = true;
        f.not_run = status == 503;
        return f;
    };
    p.write_retry_after = [](header_list&, duration) {};
    return p;
}

inline deployment::site make_site(deployment::repeatability kind) {
    deployment::route r;
    r.name = "sheets";
    r.host = "maps.example";
    r.prefix = "/";
    r.kind = kind;
    r.resumable = true;
    r.attempt_limit = 2;
    r.timeout = std::chrono::seconds(6);
    r.latency_objective = milliseconds(kind == deployment::repeatability::streaming ? 600 : 150);
    r.max_event_gap = milliseconds(250);
    r.caller_silence_timeout = milliseconds(2400);
    r.services = {{"maps", 1}};
    deployment::site s;
    s.version = 1;
    s.routes.push_back(r);
    s.services.emplace_back();
    s.services.back().name = "maps";
    return s;
}

// One piece of an upstream's answer, sent `after` the piece before it.
struct piece {
    milliseconds after;
    std::string bytes;
};

// Accepts connections one after the other and answers the request on each with the same pieces.
class scripted_upstream {
public:
    explicit scripted_upstream(std::vector<piece> pieces)
        : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          thread_([this, pieces = std::move(pieces)] { serve(pieces); }) {}
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;
    ~scripted_upstream() {
        stopping_ = true;
        tcp::socket wake(context_);
        boost::system::error_code ignored;
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] int requests() const {
        return requests_;
    }
    // The head of the last request; to be called when no request is being read.
    [[nodiscard]] std::string last_request() const {
        return last_request_;
    }
    [[nodiscard]] time_point received_at() const {
        return received_at_;
    }
    // When the gateway closed the connection before the answer was complete; the zero time if it
    // did not.
    [[nodiscard]] time_point closed_early_at() const {
        return closed_early_at_;
    }

private:
    // Waits for `d`; false if the gateway closes the connection meanwhile.
    bool wait(tcp::socket& socket, milliseconds d) {
        const time_point until = runtime::boot_now() + d;
        while (runtime::boot_now() < until) {
            if (stopping_) {
                return false;
            }
            char byte = 0;
            const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got == 0 || (got < 0 && errno != EAGAIN)) {
                closed_early_at_ = runtime::boot_now();
                return false;
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
        return true;
    }

    void serve(const std::vector<piece>& pieces) {
        while (true) {
            tcp::socket socket(context_);
            boost::system::error_code failed;
            acceptor_.accept(socket, failed);
            if (stopping_ || failed) {
                return;
            }
            std::string head;
            asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", failed);
            if (failed) {
                continue;
            }
            ++requests_;
            last_request_ = head;
            received_at_ = runtime::boot_now();
            for (const piece& p : pieces) {
                if (!wait(socket, p.after)) {
                    break;
                }
                asio::write(socket, asio::buffer(p.bytes), failed);
                if (failed) {
                    break;
                }
            }
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> requests_{0};
    std::string last_request_;
    std::atomic<time_point> received_at_{};
    std::atomic<time_point> closed_early_at_{};
    std::thread thread_;
};

inline const std::string stream_head =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string& text) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

inline std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

// A stream of four events with a pause before the third.
inline std::vector<piece> stream_with_pause(milliseconds pause) {
    return {{milliseconds(0), stream_head + chunk(event(1)) + chunk(event(2))},
            {pause, chunk(event(3))},
            {milliseconds(20), chunk(event(4)) + "0\r\n\r\n"}};
}

template <class Work>
auto run_on_traffic_loop(core& c, Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto done = task.get_future();
    c.traffic.post([&task] { task(); });
    return done.get();
}

inline dispatch::upstream make_upstream(const std::string& id, const std::string& address,
                                        const std::string& model) {
    dispatch::upstream u;
    u.id = id;
    u.service = "maps";
    u.address = address;
    u.slots = 6;
    u.software_version = "v1";
    if (!model.empty()) {
        u.models[model] = {};
    }
    return u;
}

inline asio::awaitable<void> check_silence(core& c) {
    while (true) {
        asio::steady_timer timer(c.traffic.context(), check_interval);
        co_await timer.async_wait(asio::use_awaitable);
        replace_silent_attempts(c, runtime::boot_now());
    }
}

struct fixture {
    explicit fixture(deployment::repeatability kind, const std::string& model,
                     gateway_settings settings = {}) {
        settings.name = "g1";
        settings.grace = std::chrono::seconds(8);
        auto access = runtime::rpc_access::create(settings.access);
        REQUIRE(succeeded(access));
        c = std::make_unique<core>(settings, plain_protocol(model), value(access));
        run_on_traffic_loop(*c, [&] {
            c->view.current = make_site(kind);
            (void)apply_services(c->view, runtime::boot_now());
            c->view.software.versions["maps"] = {"v1"};
        });
        runtime::spawn(c->traffic, [this] { return check_silence(*c); });
    }
    void add(const dispatch::upstream& u) {
        run_on_traffic_loop(*c, [&] { c->view.upstreams[u.id] = u; });
    }
    // Sends one request and returns all bytes of the answer; `during` runs once the request is
    // sent.
    std::string answer(const std::function<void()>& during = {}) {
        asio::io_context outside;
        tcp::socket caller = send_request(outside);
        if (during) {
            during();
        }
        std::string all;
        boost::system::error_code ended;
        std::string some(4096, '\0');
        while (!ended) {
            const std::size_t got = caller.read_some(asio::buffer(some), ended);
            all.append(some, 0, got);
        }
        return all;
    }
    // Sends one request and closes the connection after `during`.
    void send_and_leave(const std::function<void()>& during) {
        asio::io_context outside;
        const tcp::socket caller = send_request(outside);
        during();
    }
    // The caller's end of a new connection to the gateway.
    tcp::socket connect_caller(asio::io_context& outside) {
        tcp::acceptor front(outside, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket caller(outside);
        caller.connect(front.local_endpoint());
        tcp::socket accepted(c->traffic.context());
        front.accept(accepted);
        auto s = std::make_shared<session>(*c, std::move(accepted));
        runtime::spawn(c->traffic, [s] { return s->run(); });
        return caller;
    }
    tcp::socket send_request(asio::io_context& outside) {
        tcp::socket caller = connect_caller(outside);
        asio::write(caller,
                    asio::buffer(std::string(
                        "GET /a HTTP/1.1\r\nHost: maps.example\r\nConnection: close\r\n\r\n")));
        return caller;
    }

    std::unique_ptr<core> c;
};

inline std::size_t count_of(const std::string& text, std::string_view part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

// True if `answer` has the events 1 to 4 in order, each once, and ends with the last chunk.
inline bool is_whole_stream(const std::string& answer) {
    std::size_t previous = 0;
    for (int id = 1; id <= 4; ++id) {
        const std::string line = "id: " + std::to_string(id) + "\n";
        const std::size_t at = answer.find(line);
        if (count_of(answer, line) != 1 || at < previous) {
            return false;
        }
        previous = at;
    }
    return answer.starts_with("HTTP/1.1 200") && count_of(answer, "HTTP/1.1") == 1 &&
           answer.ends_with("0\r\n\r\n");
}

}  // namespace burdockdeck::gateway
