// Idle connections to one upstream, reused until shortly before the upstream would close them. Used
// on the traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::gateway {

// Limit on received bytes that have not been parsed yet; it exceeds the longest allowed head. A
// connection that reaches it fails, so that endless input takes bounded memory.
inline constexpr std::size_t max_unread_bytes = 128 * 1024;

// Invariant: `buffer` holds nothing while the connection is idle.
struct upstream_connection {
    explicit upstream_connection(boost::asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_unread_bytes};
    // Start of the incarnation of the upstream that it was opened to.
    std::uint64_t born_ms = 0;
    std::uint32_t requests = 0;
    time_point idle_since{};
    // How long the upstream keeps the connection open while it is idle.
    duration keep_alive{};
    // The first error that a call met. The kernel reports an error of a connection to one call
    // only, and a read after that one looks like an orderly end.
    boost::system::error_code error;
};

using connection_ptr = std::shared_ptr<upstream_connection>;

struct connection_pool {
    std::vector<connection_ptr> idle;
};

struct connect_error {
    std::string message;
};

// --- Queries

// True if at most half of the upstream's idle time has passed. Requests that must not be repeated
// use only such connections, since the upstream may be closing others.
[[nodiscard]] bool recently_used(const upstream_connection& c, time_point now);

// True if the connection has failed, so that its end does not complete an answer.
[[nodiscard]] bool has_failed(upstream_connection& c);

// --- Commands

// What has arrived on a connection and was not read.
enum class arrival { nothing, bytes, end };

// Looks without reading. An error counts as an end, and is recorded.
[[nodiscard]] arrival peek(upstream_connection& c);
// Records an error that a call on the connection returned.
void record_error(upstream_connection& c, const boost::system::error_code& e);

// An idle connection to this incarnation of the upstream that is still open; null if there is none.
// Closes those to other incarnations. With `recent_only`, only one that was recently used.
[[nodiscard]] connection_ptr take_idle(connection_pool& pool, std::uint64_t born_ms,
                                       bool recent_only, time_point now);
// Adds a connection on which a complete answer has been read.
void keep(connection_pool& pool, connection_ptr c, time_point now);
// Puts back an idle connection that was taken and not used; closes one that is new.
void return_unused(connection_pool& pool, connection_ptr c);
// Closes connections whose idle time is over.
void close_expired(connection_pool& pool, time_point now);

boost::asio::awaitable<result<connection_ptr, connect_error>> connect(
    boost::asio::io_context& context, settings::endpoint to, duration timeout);

// Bytes that the peer has not acknowledged; empty if the kernel does not tell.
[[nodiscard]] std::optional<int> unacknowledged_bytes(upstream_connection& c);

// Closes a connection whose request is given up. Bytes that the peer has not received are dropped;
// an ordinary close would still deliver them.
void abandon(upstream_connection& c);

// Lets a connection last through `silence` of its peer's kernel, if that is longer than the limit
// set so far; `keep` restores that limit.
void tolerate_silence(upstream_connection& c, duration silence);

// Sets the socket options that make a connection with an unresponsive peer fail; also turns on
// TCP_NODELAY.
void set_liveness(boost::asio::ip::tcp::socket& socket, duration user_timeout);

}  // namespace burdockdeck::gateway
