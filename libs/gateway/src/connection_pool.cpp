// Reuse of idle connections, and socket options that detect an unresponsive peer.
#include "connection_pool.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>

namespace burdockdeck::gateway {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t max_idle = 40;
// A connection to an upstream fails if sent bytes stay unacknowledged for this long.
constexpr duration upstream_user_timeout = std::chrono::milliseconds(1500);
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
// Idle connections are closed this long before the upstream would close them.
constexpr duration close_margin = std::chrono::milliseconds(400);

template <class Value>
void set_option(int fd, int level, int name, Value v) {
    // Errors are ignored: on a kernel without the option, the slower request time-outs apply.
    (void)::setsockopt(fd, level, name, &v, sizeof v);
}

void set_user_timeout(upstream_connection& c, duration timeout) {
    set_option(c.stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<unsigned>(to_milliseconds(timeout)));
}

bool expired(const upstream_connection& c, time_point now) {
    return now - c.idle_since > c.keep_alive - std::min(close_margin, c.keep_alive / 2);
}

}  // namespace

bool recently_used(const upstream_connection& c, time_point now) {
    return now - c.idle_since <= c.keep_alive / 2;
}

bool has_failed(upstream_connection& c) {
    if (c.error) {
        return true;
    }
    // After an orderly end the kernel waits for this side to close. It has closed a connection that
    // was reset or timed out itself, also if no call has met the error.
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(c.stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) ==
               0 &&
           info.tcpi_state == TCP_CLOSE;
}

arrival peek(upstream_connection& c) {
    char byte = 0;
    const ssize_t got =
        ::recv(c.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        return arrival::bytes;
    }
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return arrival::nothing;
    }
    if (got < 0) {
        record_error(c, {errno, boost::system::system_category()});
    }
    return arrival::end;
}

void record_error(upstream_connection& c, const boost::system::error_code& e) {
    if (!c.error) {
        c.error = e;
    }
}

connection_ptr take_idle(connection_pool& pool, std::uint64_t born_ms, bool recent_only,
                         time_point now) {
    std::erase_if(pool.idle, [&](const connection_ptr& c) { return c->born_ms != born_ms; });
    while (!pool.idle.empty()) {
        connection_ptr c = pool.idle.back();
        if (recent_only && !recently_used(*c, now)) {
            return nullptr;
        }
        pool.idle.pop_back();
        if (!expired(*c, now) && peek(*c) == arrival::nothing) {
            return c;
        }
    }
    return nullptr;
}

void keep(connection_pool& pool, connection_ptr c, time_point now) {
    c->idle_since = now;
    c->stream.expires_never();
    // A long answer leaves a large buffer.
    c->buffer.shrink_to_fit();
    set_user_timeout(*c, upstream_user_timeout);
    pool.idle.push_back(std::move(c));
    if (pool.idle.size() > max_idle) {
        pool.idle.erase(pool.idle.begin());
    }
}

void return_unused(connection_pool& pool, connection_ptr c) {
    if (c->requests > 0) {
        pool.idle.push_back(std::move(c));
    }
}

void close_expired(connection_pool& pool, time_point now) {
    std::erase_if(pool.idle, [&](const connection_ptr& c) { return expired(*c, now); });
}

std::optional<int> unacknowledged_bytes(upstream_connection& c) {
    int bytes = 0;
    if (::ioctl(c.stream.socket().native_handle(), SIOCOUTQ, &bytes) != 0) {
        return std::nullopt;
    }
    return bytes;
}

void abandon(upstream_connection& c) {
    boost::system::error_code ignored;
    if (unacknowledged_bytes(c).value_or(1) > 0) {
        // The close then resets the connection.
        c.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
    c.stream.socket().close(ignored);
}

void tolerate_silence(upstream_connection& c, duration silence) {
    if (silence > upstream_user_timeout) {
        set_user_timeout(c, silence);
    }
}

void set_liveness(tcp::socket& socket, duration user_timeout) {
    const int fd = socket.native_handle();
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<unsigned>(to_milliseconds(user_timeout)));
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

asio::awaitable<result<connection_ptr, connect_error>> connect(asio::io_context& context,
                                                               settings::endpoint to,
                                                               duration timeout) {
    boost::system::error_code invalid;
    const tcp::endpoint endpoint(asio::ip::make_address(to.ip, invalid), to.port);
    if (invalid) {
        co_return connect_error{"`" + to.ip + "` is not an IP address"};
    }
    auto c = std::make_shared<upstream_connection>(context);
    c->stream.expires_after(timeout);
    const auto [failed] =
        co_await c->stream.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (failed) {
        co_return connect_error{failed.message()};
    }
    set_liveness(c->stream.socket(), upstream_user_timeout);
    co_return c;
}

}  // namespace burdockdeck::gateway
