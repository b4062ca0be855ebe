// Receives subscriptions and sends beacons, over one UDP socket.
#include "beacon_sender.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

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
// While the engine's load matters to a gateway, its report is read at each `beacon_interval`, and
// subscribers get every so many of them. A change of its models is sent at once.
constexpr int polls_per_beacon = 5;
// The report is still read for this long after a gateway asked for it, so that the averages hold.
constexpr duration interest_lifetime = std::chrono::seconds(3);
// A report of this age is sent to a gateway that asks, instead of a new one.
constexpr duration max_report_age = std::chrono::milliseconds(15);
// Weight of a report in the averages: they cover about two seconds of reports.
constexpr double reading_smoothing = 0.03;
constexpr std::size_t max_subscription_bytes = 512;

}  // namespace

schema::engine_beacon beacon_of(const engine_report& r, std::uint64_t sequence,
                                double average_reading) {
    schema::engine_beacon b;
    b.set_born_ms(r.born_ms);
    b.set_sequence(sequence);
    b.set_waiting(r.queued);
    b.set_reading(r.reading);
    b.set_running(r.running);
    b.set_kv_used(r.kv_used);
    b.set_busy(r.busy);
    b.set_leaving(r.leaving);
    b.set_average_reading_milli(static_cast<std::uint32_t>(1000 * average_reading));
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
        if (failed || !subscription.ParseFromArray(bytes.data(), static_cast<int>(size))) {
            continue;
        }
        if (subscription.has_begun()) {
            keep_origin(subscription.begun());
            continue;
        }
        if (subscription.has_question()) {
            answer(subscription.question(), from);
            continue;
        }
        if (!subscription.once()) {
            subscribers_[from] = runtime::boot_now();
            continue;
        }
        asking_.insert(from);
        last_asked_at_ = runtime::boot_now();
        if (!answering_) {
            answering_ = true;
            runtime::spawn(loop_, [this] { return answer_questions(); });
        }
    }
}

void beacon_sender::keep_origin(const schema::stream_origin& begun) {
    const time_point now = runtime::boot_now();
    resumption::expire(origins_, now);
    resumption::record_origin(origins_, begun.request(),
                              {begun.service(), begun.software_version()},
                              std::chrono::milliseconds(begun.ttl_ms()), now);
}

void beacon_sender::answer(const schema::stream_question& question, const udp::endpoint& to) {
    const auto known = resumption::find_origin(origins_, question.request(), runtime::boot_now());
    schema::engine_beacon message;
    message.mutable_answer()->set_number(question.number());
    if (known && known->service == question.service()) {
        message.mutable_answer()->set_software_version(known->software_version);
    }
    send(message.SerializeAsString(), to);
}

asio::awaitable<void> beacon_sender::answer_questions() {
    while (!asking_.empty()) {
        if (!latest_ || runtime::boot_now() - latest_at_ > max_report_age) {
            co_await refresh();
        }
        const std::set<udp::endpoint> all = std::exchange(asking_, {});
        if (latest_) {
            const std::string text = latest_beacon();
            for (const udp::endpoint& to : all) {
                send(text, to);
            }
        }
    }
    answering_ = false;
}

asio::awaitable<void> beacon_sender::refresh() {
    std::optional<engine_report> report = co_await link_.report();
    if (report.has_value() != engine_answers_) {
        engine_answers_ = report.has_value();
        log_event(severity::info,
                  engine_answers_ ? event::upstream_announced : event::upstream_lost,
                  {{"engine", to_text(settings_.engine)}, {"reason", link_.failure()}});
    }
    latest_ = std::move(report);
    latest_at_ = runtime::boot_now();
}

void beacon_sender::send(const std::string& beacon, const udp::endpoint& to) {
    boost::system::error_code ignored;
    // A beacon is lost if the socket buffer is full; the next one replaces it.
    (void)socket_.send_to(asio::buffer(beacon), to, 0, ignored);
}

std::string beacon_sender::latest_beacon() {
    return beacon_of(*latest_, ++sequence_, average_reading_).SerializeAsString();
}

asio::awaitable<void> beacon_sender::send_beacons() {
    int polls = 0;
    std::map<std::string, std::set<std::string>> sent_models;
    bool sent_leaving = false;
    while (true) {
        co_await runtime::sleep_for(settings_.beacon_interval);
        const time_point now = runtime::boot_now();
        std::erase_if(subscribers_,
                      [&](const auto& s) { return now - s.second > subscription_lifetime; });
        if (subscribers_.empty() && now - last_asked_at_ > interest_lifetime) {
            continue;
        }
        co_await refresh();
        if (!latest_) {
            continue;
        }
        average_reading_ += reading_smoothing * (latest_->reading - average_reading_);
        const bool changed = latest_->models != sent_models || latest_->leaving != sent_leaving;
        if (++polls % polls_per_beacon != 0 && !changed) {
            continue;
        }
        sent_models = latest_->models;
        sent_leaving = latest_->leaving;
        const std::string text = latest_beacon();
        for (const auto& [to, last_subscribed] : subscribers_) {
            send(text, to);
        }
    }
}

}  // namespace burdockdeck::sidecar
