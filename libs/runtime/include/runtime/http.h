// HTTP/1.1 on Boost.Beast: a server with coroutine handlers, and a client that streams answers.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "runtime/loop.h"
#include "settings/common.h"

namespace burdockdeck::runtime {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;

    // Value of the first header with that name, compared without case; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    // The target without its query string.
    [[nodiscard]] std::string_view path() const;
};

struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    header_list headers;
    std::string body;
};

// One request and its answer. Must be used on the loop of its connection only.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const http_request& request() const = 0;
    // True once the caller has closed its connection, also if the loop has not reported it yet.
    [[nodiscard]] virtual bool caller_left() = 0;
    // Sends a complete answer. False if it could not be written to the connection.
    virtual boost::asio::awaitable<bool> respond(http_response response) = 0;
    // Sends status and headers of an answer with a chunked body.
    virtual boost::asio::awaitable<bool> begin(http_response head) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view chunk) = 0;
    // Ends the body. Without it the connection is closed, so that a truncated answer cannot be
    // taken for a complete one.
    virtual boost::asio::awaitable<bool> finish() = 0;
    // Calls `on_disconnect` once if the caller closes its connection before the answer has ended.
    virtual void watch_caller(std::function<void()> on_disconnect) = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

struct http_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 16 * 1024 * 1024;
    duration idle_timeout = std::chrono::seconds(75);
};

struct http_error {
    // True if the request certainly never left this process.
    bool not_sent = false;
    std::string message;
};

class http_server {
public:
    // Listens on `address` and serves each connection on one of `loops`.
    [[nodiscard]] static result<std::unique_ptr<http_server>, http_error> listen(
        const settings::endpoint& address, loop_pool& loops, const http_limits& limits,
        http_handler handler);
    ~http_server();

    // Stops accepting connections; each open connection closes after its current request. Safe from
    // any thread.
    void stop_accepting();
    // Number of requests whose handler is running.
    [[nodiscard]] std::size_t active() const;

    struct state;

private:
    explicit http_server(std::shared_ptr<state> s);
    std::shared_ptr<state> state_;
};

// Callbacks of a client call for the parts of the answer.
struct http_reader {
    std::function<void(unsigned status, const header_list& headers)> on_head;
    // Returning false aborts the call.
    std::function<bool(std::string_view)> on_body;
};

struct http_call_options {
    duration timeout = std::chrono::seconds(10);
    // Longest time without progress: for connecting, for sending, and between bytes of the answer.
    duration idle_timeout = std::chrono::seconds(60);
    // Uses a new connection. If the peer closes a reused connection, it is unclear whether it had
    // received the request.
    bool fresh_connection = false;
};

// Client of one endpoint with a pool of persistent connections. Must be used on one loop only.
class http_client {
public:
    http_client(loop& event_loop, settings::endpoint to);
    ~http_client();

    // Sends one request and reads the complete answer; a truncated answer is an error. An answer
    // without length ends when its connection is closed; a reset truncates it.
    boost::asio::awaitable<result<nothing, http_error>> call(http_request request,
                                                             http_reader reader,
                                                             http_call_options options);
    // Like `call`, but returns the answer as one value.
    boost::asio::awaitable<result<http_response, http_error>> fetch(http_request request,
                                                                    http_call_options options);

private:
    struct state;
    std::shared_ptr<state> state_;
};

// Suspends the current coroutine for `d`.
boost::asio::awaitable<void> sleep_for(duration d);

// Starts `work` on `event_loop`. An exception that escapes it is rethrown on the loop's thread and
// ends the program.
void spawn(loop& event_loop, std::function<boost::asio::awaitable<void>()> work);

}  // namespace burdockdeck::runtime
