// HTTP server with one coroutine per connection.
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http_common.h"
#include "runtime/log.h"
#include "runtime/peer_watch.h"

namespace burdockdeck::runtime {

namespace {

bool header_names_equal(std::string_view a, std::string_view b) {
    return beast::iequals(beast::string_view(a.data(), a.size()),
                          beast::string_view(b.data(), b.size()));
}

}  // namespace

std::string_view http_request::header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
        if (header_names_equal(key, name)) {
            return value;
        }
    }
    return {};
}

std::string_view http_request::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(loop_pool& l, const http_limits& lim, http_handler h)
        : loops(l), limits(lim), handler(std::move(h)), acceptor(loops.all().front()->context()) {}

    loop_pool& loops;
    http_limits limits;
    http_handler handler;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::atomic<std::size_t> active{0};
};

namespace {

// One connection and its current request.
class connection : public http_exchange, public std::enable_shared_from_this<connection> {
public:
    explicit connection(tcp::socket socket) : stream_(std::move(socket)) {}

    [[nodiscard]] const http_request& request() const override {
        return request_;
    }

    [[nodiscard]] bool caller_left() override {
        return disconnected_ || is_closed_by_peer(stream_.socket());
    }

    asio::awaitable<bool> respond(http_response r) override {
        http::response<http::string_body> message(static_cast<http::status>(r.status), 11);
        fill_head(message, r);
        message.body() = std::move(r.body);
        message.prepare_payload();
        stream_.expires_after(write_timeout);
        const auto [failed, sent] = co_await http::async_write(stream_, message, as_result);
        answered_ = !failed;
        co_return answered_;
    }

    asio::awaitable<bool> begin(http_response head) override {
        http::response<http::empty_body> message(static_cast<http::status>(head.status), 11);
        fill_head(message, head);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        stream_.expires_after(write_timeout);
        const auto [failed, sent] =
            co_await http::async_write_header(stream_, serializer, as_result);
        co_return !failed;
    }

    asio::awaitable<bool> write(std::string_view chunk) override {
        stream_.expires_after(write_timeout);
        const auto [failed, sent] = co_await asio::async_write(
            stream_, http::make_chunk(asio::buffer(chunk.data(), chunk.size())), as_result);
        co_return !failed;
    }

    asio::awaitable<bool> finish() override {
        stream_.expires_after(write_timeout);
        const auto [failed, sent] =
            co_await asio::async_write(stream_, http::make_chunk_last(), as_result);
        answered_ = !failed;
        co_return answered_;
    }

    void watch_caller(std::function<void()> on_disconnect) override {
        if (watch_ != nullptr) {
            watch_->stop();
        }
        watch_ = peer_watch::start(stream_.socket(), shared_from_this(),
                                   [this, on_disconnect = std::move(on_disconnect)] {
                                       disconnected_ = true;
                                       on_disconnect();
                                   });
    }

    asio::awaitable<void> serve(std::shared_ptr<http_server::state> server);

private:
    static constexpr std::chrono::seconds write_timeout{30};
    // Limits for reading and discarding the rest of a refused request; see refuse().
    static constexpr std::size_t max_discarded_bytes = std::size_t{256} << 20U;
    static constexpr std::size_t discard_chunk_bytes = 64 * 1024;
    static constexpr std::chrono::seconds discard_timeout{3};

    template <class Message>
    void fill_head(Message& message, const http_response& r) {
        message.set(http::field::content_type, r.content_type);
        for (const auto& [key, value] : r.headers) {
            message.set(key, value);
        }
        message.keep_alive(keep_alive_);
    }

    asio::awaitable<bool> read_request(const http_limits& limits);
    asio::awaitable<void> refuse(unsigned status, std::string message);

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http_request request_;
    bool keep_alive_ = true;
    bool answered_ = false;
    bool disconnected_ = false;
    std::shared_ptr<peer_watch> watch_;
};

asio::awaitable<void> connection::refuse(unsigned status, std::string message) {
    keep_alive_ = false;
    http_response r;
    r.status = status;
    r.headers = {{"Burdockdeck-Outcome", "not_run"}};
    r.body = R"({"error":{"message":")" + message +
             R"(","type":"invalid_request","outcome":"not_run"}})";
    (void)co_await respond(std::move(r));
    // Reads the rest of the request: closing the socket with unread data would reset the
    // connection, and the caller might not get the answer.
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    std::vector<char> discard_buffer(discard_chunk_bytes);
    std::size_t discarded_bytes = 0;
    stream_.expires_after(discard_timeout);
    while (discarded_bytes < max_discarded_bytes) {
        const auto [failed, got] =
            co_await stream_.async_read_some(asio::buffer(discard_buffer), as_result);
        if (failed) {
            break;
        }
        discarded_bytes += got;
    }
}

asio::awaitable<bool> connection::read_request(const http_limits& limits) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    stream_.expires_after(limits.idle_timeout);
    const auto [failed, size] = co_await http::async_read(stream_, buffer_, parser, as_result);
    if (failed == http::error::body_limit) {
        co_await refuse(413,
                        "request body exceeds " + std::to_string(limits.body_bytes) + " bytes");
        co_return false;
    }
    if (failed == http::error::header_limit) {
        co_await refuse(431,
                        "request headers exceed " + std::to_string(limits.header_bytes) + " bytes");
        co_return false;
    }
    if (failed == http::error::end_of_stream || failed == beast::error::timeout) {
        co_return false;
    }
    if (failed) {
        if (failed.category() == http::make_error_code(http::error::bad_method).category() &&
            failed != http::error::partial_message) {
            co_await refuse(400, "malformed HTTP: " + failed.message());
        }
        co_return false;
    }
    auto message = parser.release();
    keep_alive_ = message.keep_alive();
    request_.method = std::string(message.method_string());
    request_.target = std::string(message.target());
    request_.headers = headers_of(message);
    request_.body = std::move(message.body());
    co_return true;
}

asio::awaitable<void> connection::serve(std::shared_ptr<http_server::state> server) {
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    while (co_await read_request(server->limits)) {
        if (server->stopping) {
            keep_alive_ = false;
        }
        answered_ = false;
        ++server->active;
        co_await server->handler(*this);
        --server->active;
        if (watch_ != nullptr) {
            watch_->stop();
            watch_.reset();
        }
        if (!answered_ || !keep_alive_ || server->stopping) {
            break;
        }
    }
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
}

asio::awaitable<void> accept_loop(std::shared_ptr<http_server::state> server) {
    while (!server->stopping) {
        loop& event_loop = server->loops.next();
        auto [failed, socket] =
            co_await server->acceptor.async_accept(event_loop.context(), as_result);
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            // Waits before the next accept: a persistent error, such as running out of file
            // descriptors, would otherwise cause a busy loop.
            co_await sleep_for(std::chrono::milliseconds(20));
            continue;
        }
        auto c = std::make_shared<connection>(std::move(socket));
        asio::co_spawn(
            event_loop.context(), [c, server] { return c->serve(server); }, asio::detached);
    }
}

}  // namespace

http_server::http_server(std::shared_ptr<state> s) : state_(std::move(s)) {}

http_server::~http_server() {
    stop_accepting();
}

result<std::unique_ptr<http_server>, http_error> http_server::listen(
    const settings::endpoint& address, loop_pool& loops, const http_limits& limits,
    http_handler handler) {
    auto s = std::make_shared<state>(loops, limits, std::move(handler));
    const tcp::endpoint endpoint = to_asio(address);
    boost::system::error_code failed;
    (void)s->acceptor.open(endpoint.protocol(), failed);
    if (!failed) {
        (void)s->acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        (void)s->acceptor.bind(endpoint, failed);
    }
    if (!failed) {
        (void)s->acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        return http_error{true, "listen on " + to_text(address) + ": " + failed.message()};
    }
    asio::co_spawn(s->acceptor.get_executor(), accept_loop(s), asio::detached);
    return std::unique_ptr<http_server>(new http_server(std::move(s)));
}

void http_server::stop_accepting() {
    if (state_->stopping.exchange(true)) {
        return;
    }
    asio::post(state_->acceptor.get_executor(), [s = state_] {
        boost::system::error_code ignored;
        (void)s->acceptor.close(ignored);
    });
}

std::size_t http_server::active() const {
    return state_->active;
}

asio::awaitable<void> sleep_for(duration d) {
    asio::steady_timer timer(co_await asio::this_coro::executor, d);
    (void)co_await timer.async_wait(as_result);
}

void spawn(loop& event_loop, std::function<asio::awaitable<void>()> work) {
    asio::co_spawn(event_loop.context(), std::move(work), [](const std::exception_ptr& escaped) {
        if (escaped) {
            std::rethrow_exception(escaped);
        }
    });
}

}  // namespace burdockdeck::runtime
