// HTTP/1.1 by Boost.Beast: a server whose handlers are coroutines, and a client that streams.
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

    // The first header of that name, in any case; empty if there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    // The target without its query.
    [[nodiscard]] std::string_view path() const;
};

struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    header_list headers;
    std::string body;
};

// One request being answered. Belongs to the loop of its connection.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    [[nodiscard]] virtual const http_request& request() const = 0;
    // True once the caller has closed its connection.
    [[nodiscard]] virtual bool caller_left() const = 0;
    // Sends a whole answer. False if the caller could not be reached.
    virtual boost::asio::awaitable<bool> respond(http_response response) = 0;
    // Sends status and headers of an answer whose body follows in chunks.
    virtual boost::asio::awaitable<bool> begin(http_response head) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view chunk) = 0;
    // Ends the body. Without it the connection is cut, so that the answer cannot look whole.
    virtual boost::asio::awaitable<bool> finish() = 0;
    // Calls `left` once if the caller closes its connection before the answer has ended.
    virtual void watch_caller(std::function<void()> left) = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange&)>;

struct http_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 16 * 1024 * 1024;
    duration idle_timeout = std::chrono::seconds(75);
};

struct http_error {
    // True if the request provably never left this process.
    bool not_sent = false;
    std::string message;
};

class http_server {
public:
    // Listens on `at` and runs each connection on one of `loops`.
    [[nodiscard]] static result<std::unique_ptr<http_server>, http_error> listen(
        const settings::endpoint& at, loop_pool& loops, const http_limits& limits,
        http_handler handler);
    ~http_server();

    // Accepts no further connection; connections end after the request in hand. Safe from any
    // thread.
    void stop_accepting();
    // Requests being answered.
    [[nodiscard]] std::size_t active() const;

    struct state;

private:
    explicit http_server(std::shared_ptr<state> s);
    std::shared_ptr<state> state_;
};

// What a client call observes while the answer arrives.
struct http_reader {
    std::function<void(unsigned status, const header_list& headers)> on_head;
    // False stops the call.
    std::function<bool(std::string_view)> on_body;
};

struct http_call_options {
    duration timeout = std::chrono::seconds(10);
    // The longest time without any byte.
    duration idle_timeout = std::chrono::seconds(60);
    // A connection of its own: a kept one may have been closed by its peer after the request was
    // received, which cannot be told from before.
    bool fresh_connection = false;
};

// Connections to one endpoint, kept for reuse. Belongs to one loop.
class http_client {
public:
    http_client(loop& on, settings::endpoint to);
    ~http_client();

    // Sends one request and reads the answer whole; an answer cut short is an error.
    boost::asio::awaitable<result<nothing, http_error>> call(http_request request,
                                                             http_reader reader,
                                                             http_call_options options);
    // The same, with the answer collected.
    boost::asio::awaitable<result<http_response, http_error>> fetch(http_request request,
                                                                    http_call_options options);

private:
    struct state;
    std::shared_ptr<state> state_;
};

// Waits on the current coroutine's loop.
boost::asio::awaitable<void> sleep_for(duration d);

// Starts `work` on `on`; an exception that escapes it ends the program with a log line.
void spawn(loop& on, std::function<boost::asio::awaitable<void>()> work);

}  // namespace burdockdeck::runtime
