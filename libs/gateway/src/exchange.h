// One request and its answer on one connection to an upstream. Runs on the traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "connection_pool.h"
#include "gateway/protocol.h"

namespace burdockdeck::gateway {

// Whether a request may have reached the upstream, and whether its answer arrived.
enum class send_status {
    // No byte of it was sent.
    not_sent,
    // It was sent, at least in part, and no complete head of an answer arrived: it may have been
    // executed.
    no_answer,
    answered,
};

inline constexpr name_table<send_status, 3> send_status_names{{
    {send_status::not_sent, "not_sent"},
    {send_status::no_answer, "no_answer"},
    {send_status::answered, "answered"},
}};

enum class body_status { more, complete, broken };

// What ended an exchange before its answer was complete.
enum class end_cause {
    none,
    // The upstream closed the connection.
    upstream_closed,
    // The connection was reset.
    upstream_reset,
    timeout,
    // `exchange::abort` was called.
    aborted,
    // The answer violates the protocol or a limit.
    bad_answer,
};

// The request of one attempt. `body` is not owned.
struct outgoing_request {
    std::string method;
    std::string target;
    header_list headers;
    const std::string* body = nullptr;
    std::string request_id;
};

class exchange {
public:
    // `on_answer` is called for the head of each final answer, also for skipped ones.
    exchange(connection_ptr c, const caller_protocol& protocol,
             std::function<void(const answer_facts&)> on_answer = {})
        : c_(std::move(c)), protocol_(protocol), on_answer_(std::move(on_answer)) {}

    // Sends the request and reads the head of its answer. Late answers to earlier requests are
    // skipped: those with another request id, and those without one on a connection that was used
    // before.
    boost::asio::awaitable<send_status> send(const outgoing_request& r, duration timeout);

    [[nodiscard]] unsigned status() const;
    [[nodiscard]] const header_list& headers() const;
    [[nodiscard]] const answer_facts& facts() const;
    // Why the last step failed.
    [[nodiscard]] const std::string& failure() const;
    [[nodiscard]] end_cause ended_by() const;
    // Empty if the answer does not state its length.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;

    // True if the answer states no length and is not chunked, so that it ends with its connection.
    [[nodiscard]] bool ends_with_connection() const;

    // Appends the next bytes of the body to `into`.
    boost::asio::awaitable<body_status> read(std::string& into, duration timeout);

    // The answer, which ends with its connection, was not complete: the upstream broke it off.
    void mark_truncated();

    // True if bytes of the answer have arrived that were not read yet.
    [[nodiscard]] bool has_unread_bytes();
    // Bytes of the request that the upstream has not acknowledged, or "unknown"; for logs.
    [[nodiscard]] std::string unacknowledged() const;
    // Lets the connection last through `silence` of the upstream's kernel.
    void tolerate_silence(duration silence);
    // Closes the connection and drops what the upstream has not received of the request; reads in
    // progress fail.
    void abort();
    // Releases and returns the connection if it can be used for another request; null otherwise.
    [[nodiscard]] connection_ptr take_reusable(duration default_keep_alive);

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    using deadline = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<bool> write(const outgoing_request& r, deadline until);
    boost::asio::awaitable<bool> read_head(const outgoing_request& r, deadline until);
    boost::asio::awaitable<bool> skip_body(deadline until);
    boost::asio::awaitable<body_status> read_until(std::string& into, deadline until);
    void set_failure(std::string_view step, const boost::system::error_code& e);
    // Keeps the first cause: closing the connection afterwards is no cause.
    void set_cause(end_cause c);

    connection_ptr c_;
    const caller_protocol& protocol_;
    std::function<void(const answer_facts&)> on_answer_;
    std::unique_ptr<parser> parser_;
    header_list headers_;
    answer_facts facts_;
    std::string failure_;
    end_cause cause_ = end_cause::none;
    bool aborted_ = false;
};

// True for hop-by-hop headers, which must not be forwarded; `connection` is the value of the
// Connection header.
[[nodiscard]] bool is_hop_header(std::string_view name, std::string_view connection);

}  // namespace burdockdeck::gateway
