// HTTP client with persistent connections to one endpoint and streamed answers.
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "http_common.h"
#include "runtime/answer_head.h"

namespace burdockdeck::runtime {

namespace {

// Maximum number of idle connections kept for reuse.
constexpr std::size_t max_idle_connections = 64;
// Limits for one answer's collected body and for bytes not yet parsed: an endless answer is
// aborted.
constexpr std::size_t max_fetched_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_unparsed_bytes = 128 * 1024;
constexpr std::size_t max_head_bytes = 8 * 1024;
constexpr std::size_t read_chunk_bytes = 16 * 1024;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

http::request<http::string_body> to_beast(http_request& r, const settings::endpoint& to) {
    http::request<http::string_body> message;
    message.method_string(r.method);
    message.target(r.target);
    message.version(11);
    message.set(http::field::host, to_text(to));
    for (const auto& [key, value] : r.headers) {
        message.set(key, value);
    }
    message.body() = std::move(r.body);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

// True if the peer has neither closed the connection nor sent bytes, which would belong to no
// request.
bool is_open_and_quiet(beast::tcp_stream& stream) {
    char byte = 0;
    const ssize_t got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

stream_ptr take_idle(std::vector<stream_ptr>& idle) {
    while (!idle.empty()) {
        stream_ptr stream = std::move(idle.back());
        idle.pop_back();
        if (is_open_and_quiet(*stream)) {
            return stream;
        }
    }
    return nullptr;
}

}  // namespace

struct http_client::state {
    state(loop& l, settings::endpoint e) : event_loop(l), to(std::move(e)) {}
    loop& event_loop;
    settings::endpoint to;
    std::vector<stream_ptr> idle;
};

http_client::http_client(loop& event_loop, settings::endpoint to)
    : state_(std::make_shared<state>(event_loop, std::move(to))) {}
http_client::~http_client() = default;

asio::awaitable<result<nothing, http_error>> http_client::call(http_request request,
                                                               http_reader reader,
                                                               http_call_options options) {
    const std::shared_ptr<state> s = state_;
    const auto deadline = std::chrono::steady_clock::now() + options.timeout;
    const auto set_timeout = [&](beast::tcp_stream& stream) {
        stream.expires_at(
            std::min(deadline, std::chrono::steady_clock::now() + options.idle_timeout));
    };
    stream_ptr stream = options.fresh_connection ? nullptr : take_idle(s->idle);
    const bool reused = stream != nullptr;
    if (!reused) {
        stream = std::make_unique<beast::tcp_stream>(s->event_loop.context());
        set_timeout(*stream);
        const auto [failed] = co_await stream->async_connect(to_asio(s->to), as_result);
        if (failed) {
            co_return http_error{true, "connect to " + to_text(s->to) + ": " + failed.message()};
        }
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    auto message = to_beast(request, s->to);
    set_timeout(*stream);
    const auto [write_failed, sent] = co_await http::async_write(*stream, message, as_result);
    if (write_failed) {
        co_return http_error{false, "send to " + to_text(s->to) + ": " + write_failed.message() +
                                        (reused ? " (reused connection)" : "")};
    }
    beast::flat_buffer buffer{max_unparsed_bytes};
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    set_timeout(*stream);
    const head_read head = co_await read_answer_head(*stream, buffer, max_head_bytes);
    boost::system::error_code head_failed = head.failed;
    if (!head_failed && head.fault.empty()) {
        buffer.consume(parser.put(asio::buffer(buffer.data(), head.size), head_failed));
    }
    if (head_failed || !head.fault.empty()) {
        co_return http_error{false, "read from " + to_text(s->to) + ": " +
                                        (head_failed ? head_failed.message() : head.fault)};
    }
    if (reader.on_head) {
        reader.on_head(parser.get().result_int(), headers_of(parser.get()));
    }
    std::array<char, read_chunk_bytes> chunk{};
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        parser.get().body().more = true;
        set_timeout(*stream);
        const auto [failed, size] =
            co_await http::async_read_some(*stream, buffer, parser, as_result);
        const std::size_t got = chunk.size() - parser.get().body().size;
        if (got > 0 && reader.on_body && !reader.on_body({chunk.data(), got})) {
            co_return http_error{false, "aborted by the reader"};
        }
        if (failed && failed != http::error::need_buffer) {
            co_return http_error{
                false, "answer from " + to_text(s->to) + " truncated: " + failed.message()};
        }
    }
    if (parser.get().keep_alive() && !parser.need_eof() && buffer.size() == 0 &&
        s->idle.size() < max_idle_connections && !options.fresh_connection) {
        stream->expires_never();
        s->idle.push_back(std::move(stream));
    }
    co_return nothing{};
}

asio::awaitable<result<http_response, http_error>> http_client::fetch(http_request request,
                                                                      http_call_options options) {
    http_response response;
    http_reader reader;
    reader.on_head = [&](unsigned status, const header_list& headers) {
        response.status = status;
        response.headers = headers;
    };
    reader.on_body = [&](std::string_view bytes) {
        response.body += bytes;
        return response.body.size() <= max_fetched_bytes;
    };
    auto called = co_await call(std::move(request), reader, options);
    if (!succeeded(called)) {
        co_return error(called);
    }
    co_return response;
}

}  // namespace burdockdeck::runtime
