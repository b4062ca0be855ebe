// One caller's connection: reads requests one after the other and writes their answers. Runs on the
// traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core.h"
#include "runtime/peer_watch.h"

namespace burdockdeck::gateway {

struct caller_request {
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    // When its first byte was read.
    time_point arrived{};

    [[nodiscard]] std::string_view path() const;
};

struct caller_answer {
    unsigned status = 200;
    header_list headers;
    std::string body;
};

class session : public std::enable_shared_from_this<session> {
public:
    session(core& c, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();
    // Closes the connection if no request is being read or served on it.
    void close_if_idle();
    // Closes the connection at once, also in the middle of a request.
    void close_now();

    // --- For the request being served

    [[nodiscard]] bool caller_left() const;
    // True if the complete answer to the current request was written.
    [[nodiscard]] bool answered() const;
    // The error of the caller's connection; empty if there was none.
    [[nodiscard]] const std::string& failure() const;
    // Sets the handler that is called when the caller closes its connection; replaces the previous
    // one. Called immediately if the connection is already closed.
    void on_caller_left(std::function<void()> handler);
    // Looks at the connection itself, so that `caller_left` includes a close that the loop has not
    // reported yet. To be called before anything is sent for the caller.
    void check_caller();
    boost::asio::awaitable<bool> respond(caller_answer answer);
    // Sends the head of an answer whose body follows in chunks.
    boost::asio::awaitable<bool> begin(unsigned status, const header_list& headers);
    boost::asio::awaitable<bool> write(std::string_view bytes);
    boost::asio::awaitable<bool> finish();

private:
    enum class read_outcome { request, ended };

    boost::asio::awaitable<read_outcome> read_request(caller_request& r);
    boost::asio::awaitable<void> refuse(unsigned status, std::string_view reason);
    boost::asio::awaitable<bool> wait_for_bytes();
    void watch_caller();
    void record_close();
    // Counts the session among those in `active_requests` while it has a request.
    void set_in_progress(bool in_progress);
    void record_failure(const boost::system::error_code& failed);
    [[nodiscard]] std::string head_text(unsigned status, const header_list& headers,
                                        std::optional<std::size_t> length) const;

    core& core_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::function<void()> on_caller_left_;
    std::string failure_;
    bool request_in_progress_ = false;
    bool caller_closed_ = false;
    bool keep_alive_ = true;
    bool answered_ = false;
    bool closed_ = false;
    // While a request is being served.
    std::shared_ptr<runtime::peer_watch> watch_;
};

}  // namespace burdockdeck::gateway
