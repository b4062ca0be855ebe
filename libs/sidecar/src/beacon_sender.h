// Sends the engine's load to gateways as UDP datagrams. Each one carries the full state, so a lost
// one needs no retry. Used on the control loop only.
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
    beacon_sender(runtime::loop& event_loop, engine_link& link, const sidecar_settings& settings);

    // Binds the port of `settings.listen` and starts. Returns an error text; empty on success.
    [[nodiscard]] std::string open();

private:
    boost::asio::awaitable<void> receive_subscriptions();
    boost::asio::awaitable<void> send_beacons();

    runtime::loop& loop_;
    engine_link& link_;
    const sidecar_settings& settings_;
    boost::asio::ip::udp::socket socket_;
    // Time of the last subscription from each gateway.
    std::map<boost::asio::ip::udp::endpoint, time_point> subscribers_;
    std::uint64_t sequence_ = 0;
};

// Builds the beacon for a report. Adapters still being loaded are left out.
[[nodiscard]] schema::engine_beacon beacon_of(const engine_report& r, std::uint64_t sequence);

}  // namespace burdockdeck::sidecar
