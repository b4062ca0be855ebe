// Tells gateways of the engine's load by datagrams; a lost one is made up for by the next. Belongs
// to the control loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>

#include "engine_link.h"
#include "site.pb.h"

namespace burdockdeck::sidecar {

class beacon_sender {
public:
    beacon_sender(runtime::loop& on, engine_link& link, const sidecar_settings& settings);

    // Binds the port of `settings.listen` and starts; an error text, or empty.
    [[nodiscard]] std::string open();

private:
    boost::asio::awaitable<void> take_subscriptions();
    boost::asio::awaitable<void> send_beacons();

    runtime::loop& on_;
    engine_link& link_;
    const sidecar_settings& settings_;
    boost::asio::ip::udp::socket socket_;
    // When each gateway last asked.
    std::map<boost::asio::ip::udp::endpoint, time_point> subscribers_;
    std::uint64_t sequence_ = 0;
};

// The beacon for a report.
[[nodiscard]] schema::engine_beacon beacon_of(const engine_report& r, std::uint64_t sequence);

}  // namespace burdockdeck::sidecar
