// Hears the load of engines from their sidecars by datagrams. Belongs to the traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "core.h"

namespace burdockdeck::gateway {

class beacon_listener {
public:
    explicit beacon_listener(core& c);

    // Opens a socket at the gateway's own IP number and starts; an error text, or empty.
    [[nodiscard]] std::string open();

private:
    boost::asio::awaitable<void> subscribe();
    boost::asio::awaitable<void> receive();

    core& core_;
    boost::asio::ip::udp::socket socket_;
};

// Takes over what the engine at `ip` says of itself. True if its models changed.
bool apply_beacon(site_view& v, const std::string& ip, const schema::engine_beacon& b,
                  time_point now);

}  // namespace burdockdeck::gateway
