// Serves one request of a caller through a real gateway core, with upstreams that answer with given
// bytes.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "session.h"

namespace burdockdeck::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

enum class ending { keep, close, reset };

// What an upstream does with one request. In `bytes`, "$ID" stands for the request's id.
struct scripted_answer {
    std::string bytes;
    ending end = ending::keep;
    // Written this long after `bytes`.
    std::string late_bytes = "";
    std::chrono::milliseconds late_after{0};
    // Answers the head of the request and reads nothing of its body.
    bool early = false;
};

struct received_request {
    std::size_t upstream = 0;
    std::string id;
    std::string last_event_id;
};

// Upstreams on loopback with one script: the n-th request that reaches any of them gets the n-th
// answer; later requests are never answered.
class scripted_upstreams {
public:
    scripted_upstreams(std::size_t count, std::vector<scripted_answer> answers)
        : answers_(std::move(answers)) {
        for (std::size_t i = 0; i < count; ++i) {
            acceptors_.emplace_back(context_,
                                    tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            // Connections inherit it: an upstream that does not read soon blocks its caller.
            acceptors_.back().set_option(asio::socket_base::receive_buffer_size(16 * 1024));
            asio::co_spawn(context_, accept(acceptors_.back(), i), asio::detached);
        }
        thread_ = std::thread([this] { context_.run(); });
    }
    scripted_upstreams(const scripted_upstreams&) = delete;
    scripted_upstreams& operator=(const scripted_upstreams&) = delete;
    ~scripted_upstreams() {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] std::vector<std::uint16_t> ports() const {
        std::vector<std::uint16_t> out;
        for (const tcp::acceptor& a : acceptors_) {
            out.push_back(a.local_endpoint().port());
        }
        return out;
    }
    [[nodiscard]] std::vector<received_request> received() const {
        const std::lock_guard lock(mutex_);
        return received_;
    }

private:
    asio::awaitable<void> accept(tcp::acceptor& at, std::size_t upstream) {
        while (true) {
            tcp::socket socket = co_await at.async_accept(asio::use_awaitable);
            asio::co_spawn(context_, serve(std::move(socket), upstream), asio::detached);
        }
    }

    // Whether the next answer does not wait for the body of its request.
    [[nodiscard]] bool answers_early() const {
        const std::lock_guard lock(mutex_);
        return received_.size() < answers_.size() && answers_[received_.size()].early;
    }

    static std::string header_in(const std::string& head, const std::string& name) {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    static std::string with_id(std::string text, const std::string& id) {
        for (std::size_t at = text.find("$ID"); at != std::string::npos; at = text.find("$ID")) {
            text.replace(at, 3, id);
        }
        return text;
    }

    asio::awaitable<void> serve(tcp::socket socket, std::size_t upstream) {
        std::string buffer;
        while (true) {
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::use_awaitable);
            const std::string head = buffer.substr(0, size);
            const bool early = answers_early();
            const std::string length = early ? "" : header_in(head, "Content-Length");
            const std::size_t total = size + (length.empty() ? 0 : std::stoul(length));
            if (buffer.size() < total) {
                co_await asio::async_read(socket, asio::dynamic_buffer(buffer),
                                          asio::transfer_exactly(total - buffer.size()),
                                          asio::use_awaitable);
            }
            buffer.erase(0, early ? buffer.size() : total);
            std::size_t number = 0;
            {
                const std::lock_guard lock(mutex_);
                number = received_.size();
                received_.push_back(
                    {upstream, header_in(head, "Id"), header_in(head, "Last-Event")});
            }
            if (number >= answers_.size()) {
                continue;
            }
            const scripted_answer& a = answers_[number];
            const std::string bytes = with_id(a.bytes, header_in(head, "Id"));
            co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
            if (!a.late_bytes.empty()) {
                asio::steady_timer timer(context_, a.late_after);
                co_await timer.async_wait(asio::use_awaitable);
                const std::string late = with_id(a.late_bytes, header_in(head, "Id"));
                co_await asio::async_write(socket, asio::buffer(late), asio::use_awaitable);
            }
            if (a.end == ending::reset) {
                // The bytes are to be read before the reset arrives.
                asio::steady_timer timer(context_, std::chrono::milliseconds(50));
                co_await timer.async_wait(asio::use_awaitable);
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            if (a.end != ending::keep) {
                socket.close();
                co_return;
            }
        }
    }

    asio::io_context context_;
    std::vector<scripted_answer> answers_;
    mutable std::mutex mutex_;
    std::vector<received_request> received_;
    std::list<tcp::acceptor> acceptors_;
    std::thread thread_;
};

// Header names: Id (a request's, echoed), Resumes, Signature, Not-Run, Encoding, Last-Event,
// Leaving, Pause-Ms, Limit. Written to callers: Come-Back-Ms.
inline caller_protocol short_protocol() {
    caller_protocol p;
    p.read_request = [](const header_list& headers) {
        request_facts facts;
        facts.id = find_header(headers, "Id");
        facts.resumes = find_header(headers, "Resumes");
        if (const std::string_view last = find_header(headers, "Last-Event"); !last.empty()) {
            facts.last_event_id = std::stoul(std::string(last));
        }
        return facts;
    };
    p.is_reserved = [](std::string_view name) { return name == "Last-Event"; };
    p.write_attempt_headers = [](header_list& headers, const attempt_header_values& v) {
        if (v.last_event_id) {
            headers.emplace_back("Last-Event", std::to_string(*v.last_event_id));
        }
    };
    p.read_answer = [](unsigned, const header_list& headers) {
        answer_facts f;
        f.echoed_id = find_header(headers, "Id");
        f.signed_by_upstream = !find_header(headers, "Signature").empty();
        f.not_run = !find_header(headers, "Not-Run").empty();
        f.encoded = !find_header(headers, "Encoding").empty();
        f.leaving = !find_header(headers, "Leaving").empty();
        if (const std::string_view ms = find_header(headers, "Pause-Ms"); !ms.empty()) {
            f.pause = std::chrono::milliseconds(std::stoi(std::string(ms)));
        }
        if (const std::string_view limit = find_header(headers, "Limit"); !limit.empty()) {
            f.requests_per_second = std::stod(std::string(limit));
        }
        return f;
    };
    p.write_retry_after = [](header_list& headers, duration d) {
        headers.emplace_back("Come-Back-Ms", std::to_string(to_milliseconds(d)));
    };
    return p;
}

// A gateway core with one route, whose service runs on the given upstreams.
class gateway_under_test {
public:
    gateway_under_test(const std::vector<std::uint16_t>& upstream_ports,
                       deployment::repeatability kind) {
        gateway_settings settings;
        settings.name = "g1";
        auto access = runtime::rpc_access::create(settings.access);
        core_ = std::make_unique<core>(settings, short_protocol(), value(access));
        deployment::route r;
        r.name = "orders";
        r.host = "shop.example";
        r.prefix = "/";
        r.kind = kind;
        r.resumable = kind == deployment::repeatability::streaming;
        r.timeout = std::chrono::seconds(2);
        r.latency_objective = std::chrono::milliseconds(300);
        r.attempt_limit = 3;
        r.services = {{"orders", 1}};
        deployment::site s;
        s.version = 1;
        s.limits.body_bytes = 64 * 1024 * 1024;
        s.routes.push_back(r);
        s.services.emplace_back();
        s.services.back().name = "orders";
        std::promise<void> done;
        core_->traffic.post([&] {
            core_->view.current = s;
            (void)apply_services(core_->view, runtime::boot_now());
            core_->view.software.versions["orders"] = {"v1"};
            for (const std::uint16_t port : upstream_ports) {
                dispatch::upstream u;
                u.id = "u" + std::to_string(port);
                u.service = "orders";
                u.address = "127.0.0.1:" + std::to_string(port);
                u.slots = 6;
                u.software_version = "v1";
                core_->view.upstreams.emplace(u.id, u);
            }
            done.set_value();
        });
        done.get_future().get();
    }

    // The caller's end of a connection on which a request with this id has been sent.
    // `headers` are further lines of its head.
    tcp::socket begin_call(const std::string& id, const std::string& body = "body",
                           const std::string& headers = "") {
        tcp::acceptor front(outside_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket caller(outside_);
        caller.connect(front.local_endpoint());
        tcp::socket accepted(core_->traffic.context());
        front.accept(accepted);
        auto s = std::make_shared<session>(*core_, std::move(accepted));
        runtime::spawn(core_->traffic, [s] { return s->run(); });
        s.reset();
        const std::string request =
            "POST /a HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\nId: " + id + "\r\n" +
            headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(caller, asio::buffer(request));
        return caller;
    }

    // Everything that a caller receives for a request with this id, until the connection is closed.
    std::string call(const std::string& id, const std::string& body = "body",
                     const std::string& headers = "") {
        tcp::socket caller = begin_call(id, body, headers);
        std::string all;
        boost::system::error_code ended;
        asio::read(caller, asio::dynamic_buffer(all), ended);
        return all;
    }

    // Runs `work` on the gateway's traffic loop.
    template <class Work>
    void run(Work work) {
        std::promise<void> done;
        core_->traffic.post([&] {
            work(*core_);
            done.set_value();
        });
        done.get_future().get();
    }
    // Runs `work` on the traffic loop while the next request waits for a connection.
    void run_during_connect(std::function<void(core&)> work) {
        run([&](core& c) {
            const auto used = std::make_shared<bool>(false);
            c.protocol.read_request = [&c, work, used](const header_list& headers) {
                if (!std::exchange(*used, true)) {
                    c.traffic.post([&c, work] { work(c); });
                }
                return short_protocol().read_request(headers);
            };
        });
    }

private:
    asio::io_context outside_;
    std::unique_ptr<core> core_;
};

}  // namespace burdockdeck::gateway::testing
