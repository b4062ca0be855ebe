// Calls to the engine over one persistent connection.
#include "engine_link.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

#include "runtime/log.h"
#include "runtime/trace.h"

namespace burdockdeck::sidecar {

namespace asio = boost::asio;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

constexpr duration report_timeout = std::chrono::milliseconds(300);
constexpr duration order_timeout = std::chrono::milliseconds(400);
// Added to the fence after the engine refused it as too low. No other process sends orders, so an
// earlier run of this one had a clock that was ahead.
constexpr std::uint64_t fence_step = 60'000;

runtime::http_request request_of(engine_call c) {
    runtime::http_request r;
    r.method = std::move(c.method);
    r.target = std::move(c.target);
    r.headers = std::move(c.headers);
    r.body = std::move(c.body);
    return r;
}

}  // namespace

engine_link::engine_link(runtime::loop& event_loop, const sidecar_settings& settings,
                         engine_protocol protocol)
    : loop_(event_loop),
      settings_(settings),
      protocol_(std::move(protocol)),
      client_(event_loop, settings.engine),
      fence_(static_cast<std::uint64_t>(runtime::wall_clock_ns() / 1'000'000)) {}

asio::awaitable<result<runtime::http_response, runtime::http_error>> engine_link::call(
    engine_call c, duration timeout) {
    runtime::http_call_options options;
    options.timeout = timeout;
    runtime::http_request request = request_of(std::move(c));
    auto answer = co_await client_.fetch(request, options);
    co_return answer;
}

asio::awaitable<std::optional<engine_report>> engine_link::report() {
    for (const bool fresh : {false, true}) {
        runtime::http_call_options options;
        options.timeout = report_timeout;
        options.fresh_connection = fresh;
        runtime::http_request request = request_of(protocol_.report_call());
        auto answer = co_await client_.fetch(request, options);
        if (!succeeded(answer)) {
            failure_ = error(answer).message;
            continue;
        }
        auto decoded = protocol_.decode_report(value(answer).body);
        if (value(answer).status == 200 && succeeded(decoded)) {
            engine_report& received = value(decoded);
            received.leaving = protocol_.says_leaving(value(answer).headers);
            co_return received;
        }
        failure_ = succeeded(decoded) ? "status " + std::to_string(value(answer).status)
                                      : error(decoded).message;
    }
    co_return std::nullopt;
}

asio::awaitable<order_result> engine_link::order(order_action action,
                                                 adapter_name model_and_adapter,
                                                 std::string target_id, engine_report snapshot) {
    engine_order o;
    o.action = action;
    o.model = model_and_adapter.first;
    o.adapter = model_and_adapter.second;
    o.holder = settings_.name;
    o.fence = fence_;
    o.expected_orders = snapshot.orders_accepted;
    o.target_id = std::move(target_id);
    engine_call c = protocol_.order_call(o);
    auto answer = co_await call(std::move(c), order_timeout);
    const std::string action_name = action == order_action::load ? "load" : "unload";
    if (!succeeded(answer)) {
        failure_ = error(answer).message;
        log_event(severity::warning, event::order_unanswered,
                  {{"action", action_name},
                   {"model", o.model},
                   {"adapter", o.adapter},
                   {"expected", o.expected_orders},
                   {"reason", failure_}});
        co_return order_result::unanswered;
    }
    const unsigned status = value(answer).status;
    log_event(severity::info, event::order_sent,
              {{"action", action_name},
               {"model", o.model},
               {"adapter", o.adapter},
               {"expected", o.expected_orders},
               {"fence", o.fence},
               {"status", static_cast<std::uint64_t>(status)}});
    failure_ = "status " + std::to_string(status) + " " + value(answer).body;
    switch (protocol_.decode_order_answer(status)) {
        case order_answer::accepted:
            co_return order_result::accepted;
        case order_answer::holds_already:
            co_return order_result::holds_already;
        case order_answer::conflict:
            co_return order_result::busy;
        case order_answer::stale_fence:
            fence_ += fence_step;
            co_return order_result::busy;
        default:
            co_return order_result::refused;
    }
}

asio::awaitable<void> engine_link::lock() {
    if (!locked_) {
        locked_ = true;
        co_return;
    }
    co_await asio::async_initiate<const asio::use_awaitable_t<>&, void()>(
        [this](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            waiting_.push_back([shared] { (*shared)(); });
        },
        asio::use_awaitable);
}

void engine_link::unlock() {
    if (waiting_.empty()) {
        locked_ = false;
        return;
    }
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    asio::post(loop_.context(), std::move(next));
}

}  // namespace burdockdeck::sidecar
