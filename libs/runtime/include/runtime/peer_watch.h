// Notices that the peer of a connection has closed it, while nothing is read from the connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace burdockdeck::runtime {

// True if the peer has closed or reset the connection, also if bytes that arrived before are
// unread.
[[nodiscard]] bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

// Calls a handler once when the peer closes the connection. Used on the socket's loop only.
// Invariant: the handler is called at most once, and not after `stop`.
class peer_watch : public std::enable_shared_from_this<peer_watch> {
public:
    // Pending waits keep `owner` alive, and it keeps `socket` alive. It may own the watch.
    [[nodiscard]] static std::shared_ptr<peer_watch> start(boost::asio::ip::tcp::socket& socket,
                                                           std::shared_ptr<void> owner,
                                                           std::function<void()> on_closed);

    // Looks at the connection itself, so that a close is noticed that the loop has not reported
    // yet.
    void check();
    // Ends the watch and cancels all operations on the socket.
    void stop();

private:
    peer_watch(boost::asio::ip::tcp::socket& socket, std::function<void()> on_closed);
    void wait_until_readable(std::shared_ptr<void> owner);
    void wait_for_next_check(std::shared_ptr<void> owner);

    boost::asio::ip::tcp::socket& socket_;
    std::function<void()> on_closed_;
    boost::asio::steady_timer timer_;
};

}  // namespace burdockdeck::runtime
