// Receives subscriptions and sends beacons, over one UDP socket.
#include "beacon_sender.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "runtime/clock.h"
#include "runtime/log.h"

namespace burdockdeck::sidecar {

namespace asio = boost::asio;
using asio::ip::udp;
using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
// Gateways renew their subscription every second.
constexpr duration subscription_lifetime = std::chrono::seconds(3);
// An engine without work is polled less often, by this factor.
constexpr int idle_factor = 5;
constexpr std::size_t max_subscription_bytes = 512;

}  // namespace

schema::engine_beacon beacon_of(const engine_report& r, std::uint64_t sequence) {
    schema::engine_beacon b;
    b.set_born_ms(r.born_ms);
    b.set_sequence(sequence);
    b.set_waiting(r.queued);
    b.set_reading(r.reading);
    b.set_running(r.running);
    b.set_kv_used(r.kv_used);
    b.set_busy(r.busy);
    b.set_leaving(r.leaving);
    for (const auto& [model, adapters] : r.models) {
        schema::present_model& m = *b.add_models();
        m.set_name(model);
        for (const std::string& a : adapters) {
            if (!is_incoming(r, {model, a})) {
                m.add_adapters(a);
            }
        }
    }
    return b;
}

beacon_sender::beacon_sender(runtime::loop& event_loop, engine_link& link,
                             const sidecar_settings& settings)
    : loop_(event_loop), link_(link), settings_(settings), socket_(event_loop.context()) {}

std::string beacon_sender::open() {
    const udp::endpoint at(asio::ip::make_address(settings_.listen.ip), settings_.listen.port);
    boost::system::error_code failed;
    (void)socket_.open(at.protocol(), failed);
    if (!failed) {
        (void)socket_.bind(at, failed);
    }
    if (failed) {
        return "cannot listen for beacon subscriptions on " + to_text(settings_.listen) + ": " +
               failed.message();
    }
    runtime::spawn(loop_, [this] { return receive_subscriptions(); });
    runtime::spawn(loop_, [this] { return send_beacons(); });
    return "";
}

asio::awaitable<void> beacon_sender::receive_subscriptions() {
    std::array<char, max_subscription_bytes> bytes{};
    udp::endpoint from;
    while (true) {
        const auto [failed, size] =
            co_await socket_.async_receive_from(asio::buffer(bytes), from, as_result);
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        schema::beacon_subscription subscription;
        if (!failed && subscription.ParseFromArray(bytes.data(), static_cast<int>(size))) {
            subscribers_[from] = runtime::boot_now();
        }
    }
}

asio::awaitable<void> beacon_sender::send_beacons() {
    int idle_rounds = 0;
    bool answering = true;
    while (true) {
        co_await runtime::sleep_for(settings_.beacon_interval);
        const time_point now = runtime::boot_now();
        std::erase_if(subscribers_,
                      [&](const auto& s) { return now - s.second > subscription_lifetime; });
        if (subscribers_.empty() || (idle_rounds > 0 && idle_rounds-- > 1)) {
            continue;
        }
        const std::optional<engine_report> snapshot = co_await link_.report();
        if (snapshot.has_value() != answering) {
            answering = snapshot.has_value();
            log_event(severity::info, answering ? event::upstream_announced : event::upstream_lost,
                      {{"engine", to_text(settings_.engine)}, {"reason", link_.failure()}});
        }
        if (!snapshot) {
            continue;
        }
        idle_rounds = snapshot->running + snapshot->queued == 0 ? idle_factor : 0;
        const std::string text = beacon_of(*snapshot, ++sequence_).SerializeAsString();
        for (const auto& [to, last_subscribed] : subscribers_) {
            boost::system::error_code ignored;
            // A beacon is lost if the socket buffer is full; the next one replaces it.
            (void)socket_.send_to(asio::buffer(text), to, 0, ignored);
        }
    }
}

}  // namespace burdockdeck::sidecar
