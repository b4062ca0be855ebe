// A socket becomes readable when its peer closes the connection, and also when bytes arrive. The
// first is waited for; behind unread bytes, the state is polled.
#include "runtime/peer_watch.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace burdockdeck::runtime {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// A socket with unread bytes stays readable, so that waiting for it would return at once.
constexpr auto poll_interval = std::chrono::milliseconds(100);

}  // namespace

bool is_closed_by_peer(tcp::socket& socket) {
    char byte = 0;
    const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got <= 0) {
        return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::shared_ptr<peer_watch> peer_watch::start(tcp::socket& socket, std::shared_ptr<void> owner,
                                              std::function<void()> on_closed) {
    std::shared_ptr<peer_watch> w(new peer_watch(socket, std::move(on_closed)));
    w->wait_until_readable(std::move(owner));
    return w;
}

peer_watch::peer_watch(tcp::socket& socket, std::function<void()> on_closed)
    : socket_(socket), on_closed_(std::move(on_closed)), timer_(socket.get_executor()) {}

void peer_watch::wait_until_readable(std::shared_ptr<void> owner) {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), owner](const boost::system::error_code& failed) {
                           if (failed != asio::error::operation_aborted) {
                               self->check();
                               self->wait_for_next_check(owner);
                           }
                       });
}

void peer_watch::wait_for_next_check(std::shared_ptr<void> owner) {
    if (!on_closed_) {
        return;
    }
    timer_.expires_after(poll_interval);
    timer_.async_wait([self = shared_from_this(), owner](const boost::system::error_code& failed) {
        if (!failed) {
            self->check();
            self->wait_for_next_check(owner);
        }
    });
}

void peer_watch::check() {
    if (!on_closed_ || !is_closed_by_peer(socket_)) {
        return;
    }
    const std::function<void()> on_closed = std::move(on_closed_);
    on_closed_ = nullptr;
    timer_.cancel();
    on_closed();
}

void peer_watch::stop() {
    on_closed_ = nullptr;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

}  // namespace burdockdeck::runtime
