// Receives the load of engines from their sidecars in UDP datagrams (beacons). Runs on the traffic
// loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "core.h"

namespace burdockdeck::gateway {

class beacon_listener {
public:
    explicit beacon_listener(core& c);

    // Opens a socket at the gateway's IP address and starts; returns an error text, or empty.
    [[nodiscard]] std::string open();

private:
    // Asks the sidecar of the upstream at this address for one beacon, or subscribes to its
    // beacons.
    void ask(const std::string& upstream_address, bool once);
    void send(const std::string& ip, const schema::beacon_subscription& m);
    boost::asio::awaitable<void> subscribe();
    boost::asio::awaitable<void> receive();

    core& core_;
    boost::asio::ip::udp::socket socket_;
};

// Applies a beacon of the engine at `ip`, unless it is from another incarnation. True if its models
// changed.
bool apply_beacon(site_view& v, const std::string& ip, const schema::engine_beacon& b,
                  time_point now);

}  // namespace burdockdeck::gateway
