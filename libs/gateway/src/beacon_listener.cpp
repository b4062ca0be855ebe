// Sends subscriptions to sidecars and receives their beacons on one socket.
#include "beacon_listener.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "load_questions.h"
#include "quarantine.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "stream_origin.h"
#include "upstream_notices.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr duration subscribe_interval = std::chrono::milliseconds(300);
constexpr std::size_t max_beacon_bytes = 8 * 1024;
// An adapter listed in a beacon counts as loaded for this long without a lease.
constexpr duration beacon_adapter_lease = std::chrono::milliseconds(400);

// An engine that executes an order to load or unload a model loads no adapters meanwhile.
constexpr duration busy_adapter_block = std::chrono::milliseconds(150);

bool update_models(dispatch::upstream& u, const schema::engine_beacon& b, time_point now) {
    bool changed = u.models.size() != static_cast<std::size_t>(b.models_size());
    std::map<std::string, dispatch::loaded_model, std::less<>> models;
    for (const schema::present_model& m : b.models()) {
        const auto known = u.models.find(m.name());
        changed = changed || known == u.models.end();
        dispatch::loaded_model held;
        if (known != u.models.end()) {
            held.version = known->second.version;
        }
        for (const std::string& adapter : m.adapters()) {
            time_point& until = held.adapters[adapter];
            until = now + beacon_adapter_lease;
            if (known != u.models.end() && known->second.adapters.contains(adapter)) {
                until = std::max(until, known->second.adapters.at(adapter));
            }
        }
        models.emplace(m.name(), std::move(held));
    }
    u.models = std::move(models);
    return changed;
}

}  // namespace

bool apply_beacon(site_view& v, const std::string& ip, const schema::engine_beacon& b,
                  time_point now) {
    dispatch::upstream* u = engine_at(v, ip, b.born_ms());
    if (u == nullptr) {
        return false;
    }
    dispatch::record_load(*u, b.waiting(), b.reading(), b.running(),
                          b.average_reading_milli() / 1000.0, now);
    if (b.leaving()) {
        mark_leaving(*u, "report");
    }
    if (b.busy()) {
        u->adapters_blocked_until = std::max(u->adapters_blocked_until, now + busy_adapter_block);
    }
    return update_models(*u, b, now);
}

beacon_listener::beacon_listener(core& c) : core_(c), socket_(c.traffic.context()) {}

std::string beacon_listener::open() {
    const udp::endpoint at(asio::ip::make_address(core_.settings.listen.ip), 0);
    boost::system::error_code failed;
    (void)socket_.open(at.protocol(), failed);
    if (!failed) {
        (void)socket_.bind(at, failed);
    }
    if (failed) {
        return "open the socket for beacons: " + failed.message();
    }
    core_.ask_for_load = [this](const std::string& address, bool once) { ask(address, once); };
    core_.send_to_sidecar = [this](const std::string& ip, const schema::beacon_subscription& m) {
        send(ip, m);
    };
    runtime::spawn(core_.traffic, [this] { return subscribe(); });
    runtime::spawn(core_.traffic, [this] { return receive(); });
    return "";
}

void beacon_listener::ask(const std::string& upstream_address, bool once) {
    const auto at = settings::parse_endpoint(upstream_address);
    if (!at) {
        return;
    }
    schema::beacon_subscription subscription;
    subscription.set_gateway(core_.settings.name);
    subscription.set_once(once);
    send(at->ip, subscription);
}

void beacon_listener::send(const std::string& ip, const schema::beacon_subscription& m) {
    boost::system::error_code failed;
    const udp::endpoint to(asio::ip::make_address(ip, failed), core_.settings.sidecar_port);
    if (!failed) {
        // Errors are ignored: a lost datagram is followed by the next question or subscription.
        (void)socket_.send_to(asio::buffer(m.SerializeAsString()), to, 0, failed);
    }
}

// Subscribes to the engines that serve requests of this gateway, so that a silent one is noticed.
asio::awaitable<void> beacon_listener::subscribe() {
    while (true) {
        co_await runtime::sleep_for(subscribe_interval);
        const time_point now = runtime::boot_now();
        for (auto& [id, u] : core_.view.upstreams) {
            if (u.in_flight > 0 && !u.models.empty()) {
                dispatch::record_load_asked(u, now);
                ask(u.address, false);
            }
        }
    }
}

asio::awaitable<void> beacon_listener::receive() {
    std::array<char, max_beacon_bytes> bytes{};
    udp::endpoint from;
    while (true) {
        const auto [failed, size] =
            co_await socket_.async_receive_from(asio::buffer(bytes), from, as_result);
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        schema::engine_beacon b;
        if (failed || !b.ParseFromArray(bytes.data(), static_cast<int>(size))) {
            continue;
        }
        if (b.has_answer()) {
            record_origin_answer(core_, b.answer());
            continue;
        }
        const std::string ip = from.address().to_string();
        if (const dispatch::upstream* u = engine_at(core_.view, ip, b.born_ms())) {
            record_load_answer(core_, u->id);
        }
        record_engine_alive(core_, ip, b.born_ms(), runtime::boot_now());
        if (apply_beacon(core_.view, ip, b, runtime::boot_now())) {
            const auto timers = core_.waiting_timers;
            for (asio::steady_timer* t : timers) {
                t->cancel();
            }
        }
    }
}

}  // namespace burdockdeck::gateway
