// Reads callers' requests strictly, refusing those with ambiguous framing, and writes answers with
// exactly one framing header.
#include "session.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include "exchange.h"
#include "request.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
// Time to read a body; the limit on its size comes from the deployment.
constexpr duration body_timeout = std::chrono::seconds(20);
// A connection whose peer acknowledges no data for this long fails.
constexpr duration caller_user_timeout = std::chrono::seconds(5);
constexpr duration write_timeout = std::chrono::seconds(10);
// Idle connections are kept open this much longer than the idle time-out that callers expect.
constexpr duration idle_margin = std::chrono::milliseconds(500);
constexpr std::size_t read_ahead_bytes = 8 * 1024;

using request_parser = http::request_parser<http::string_body>;

bool has_single_framing(const request_parser& p) {
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    bool chunked = true;
    for (const auto& f : p.get()) {
        lengths += f.name() == http::field::content_length ? 1 : 0;
        if (f.name() == http::field::transfer_encoding) {
            ++encodings;
            chunked =
                chunked && equals_ignore_case({f.value().data(), f.value().size()}, "chunked");
        }
    }
    return lengths + encodings <= 1 && chunked;
}

bool has_one_host(const request_parser& p) {
    return p.get().count(http::field::host) == 1;
}

}  // namespace

std::string_view caller_request::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

session::session(core& c, tcp::socket socket) : core_(c), stream_(std::move(socket)) {
    set_liveness(stream_.socket(), caller_user_timeout);
}

bool session::caller_left() const {
    return caller_closed_ || closed_;
}

bool session::answered() const {
    return answered_;
}

const std::string& session::failure() const {
    return failure_;
}

void session::on_caller_left(std::function<void()> handler) {
    on_caller_left_ = std::move(handler);
    if (caller_left() && on_caller_left_) {
        on_caller_left_();
    }
}

void session::close_if_idle() {
    char byte = 0;
    const bool has_unread_bytes =
        ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    // A request that has arrived is served, although nothing of it has been read yet.
    if (!request_in_progress_ && !has_unread_bytes) {
        close_now();
    }
}

void session::close_now() {
    closed_ = true;
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
}

void session::watch_caller() {
    watch_ = runtime::peer_watch::start(stream_.socket(), shared_from_this(),
                                        [this] { record_close(); });
}

void session::record_close() {
    caller_closed_ = true;
    failure_ = "closed";
    if (on_caller_left_) {
        on_caller_left_();
    }
}

void session::check_caller() {
    if (watch_ != nullptr) {
        watch_->check();
    }
}

asio::awaitable<bool> session::wait_for_bytes() {
    if (buffer_.size() > 0) {
        co_return true;
    }
    stream_.expires_after(core_.view.current.limits.idle_timeout + idle_margin);
    const auto [failed, got] =
        co_await stream_.async_read_some(buffer_.prepare(read_ahead_bytes), as_result);
    buffer_.commit(got);
    co_return !failed && got > 0;
}

asio::awaitable<void> session::refuse(unsigned status, std::string_view reason) {
    core_.metrics.count("burdockdeck_caller_errors_total", "status=" + std::to_string(status));
    runtime::log_event(runtime::severity::info, runtime::event::request_refused,
                       {{"status", static_cast<std::uint64_t>(status)}, {"reason", reason}});
    keep_alive_ = false;
    caller_answer answer;
    answer.status = status;
    answer.body = std::string(reason) + "\n";
    (void)co_await respond(std::move(answer));
}

asio::awaitable<session::read_outcome> session::read_request(caller_request& r) {
    if (!co_await wait_for_bytes()) {
        co_return read_outcome::ended;
    }
    set_in_progress(true);
    r.arrived = runtime::boot_now();
    const deployment::caller_limits limits = core_.view.current.limits;
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    stream_.expires_after(limits.header_timeout);
    const auto [head_failed, head_size] =
        co_await http::async_read_header(stream_, buffer_, parser, as_result);
    if (head_failed == beast::error::timeout) {
        co_await refuse(408, "the request's header did not arrive in time");
        co_return read_outcome::ended;
    }
    if (head_failed) {
        const bool parse_error =
            head_failed.category() == http::make_error_code(http::error::bad_method).category();
        if (head_failed == http::error::header_limit) {
            co_await refuse(431, "the request's header exceeds the size limit");
        } else if (parse_error && head_failed != http::error::end_of_stream &&
                   head_failed != http::error::partial_message) {
            co_await refuse(head_failed == http::error::body_limit ? 413 : 400,
                            "malformed HTTP/1.1 request");
        }
        co_return read_outcome::ended;
    }
    if (!has_single_framing(parser) || !has_one_host(parser)) {
        co_await refuse(400, "ambiguous body length, or not exactly one Host header");
        co_return read_outcome::ended;
    }
    keep_alive_ = parser.get().keep_alive();
    if (equals_ignore_case(std::string_view(parser.get()[http::field::expect]), "100-continue")) {
        constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        (void)co_await write(continue_response);
    }
    stream_.expires_after(body_timeout);
    const auto [body_failed, body_size] =
        co_await http::async_read(stream_, buffer_, parser, as_result);
    if (body_failed) {
        if (body_failed == http::error::body_limit) {
            co_await refuse(413, "the request's body exceeds the size limit");
        } else if (body_failed == beast::error::timeout) {
            co_await refuse(408, "the request's body did not arrive in time");
        }
        co_return read_outcome::ended;
    }
    stream_.expires_never();
    auto message = parser.release();
    r.method = std::string(message.method_string());
    r.target = std::string(message.target());
    for (const auto& f : message) {
        r.headers.emplace_back(f.name_string(), f.value());
    }
    r.body = std::move(message.body());
    co_return read_outcome::request;
}

asio::awaitable<void> session::run() {
    const std::shared_ptr<session> self = shared_from_this();
    while (keep_alive_ && !closed_) {
        set_in_progress(false);
        caller_request r;
        if (co_await read_request(r) == read_outcome::ended) {
            break;
        }
        answered_ = false;
        watch_caller();
        co_await serve(core_, *this, std::move(r));
        on_caller_left_ = nullptr;
        watch_->stop();
        watch_.reset();
        if (!answered_ || caller_closed_) {
            break;
        }
    }
    boost::system::error_code ignored;
    if (!closed_ && answered_) {
        // Closing a socket with unread bytes resets the connection, and the caller could lose the
        // answer. Bytes that the caller sent meanwhile are therefore read and discarded first.
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        stream_.expires_after(std::chrono::milliseconds(500));
        std::array<char, 1024> discarded{};
        for (int i = 0; i < 64; ++i) {
            const auto [failed, got] =
                co_await stream_.async_read_some(asio::buffer(discarded), as_result);
            if (failed) {
                break;
            }
        }
    }
    stream_.socket().close(ignored);
    set_in_progress(false);
}

void session::set_in_progress(bool in_progress) {
    if (in_progress != request_in_progress_) {
        request_in_progress_ = in_progress;
        core_.active_requests += in_progress ? 1 : -1;
    }
}

void session::record_failure(const boost::system::error_code& failed) {
    if (failed && failure_.empty()) {
        failure_ = failed.message();
    }
}

std::string session::head_text(unsigned status, const header_list& headers,
                               std::optional<std::size_t> length) const {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out += std::string(http::obsolete_reason(static_cast<http::status>(status)));
    out += "\r\n";
    for (const auto& [name, value] : headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    out += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                  : std::string("Transfer-Encoding: chunked\r\n");
    if (!keep_alive_) {
        out += "Connection: close\r\n";
    }
    return out + "\r\n";
}

asio::awaitable<bool> session::respond(caller_answer answer) {
    if (core_.draining) {
        keep_alive_ = false;
    }
    const std::string head = head_text(answer.status, answer.headers, answer.body.size());
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(answer.body)};
    stream_.expires_after(write_timeout);
    const auto [failed, sent] = co_await asio::async_write(stream_, parts, as_result);
    answered_ = !failed;
    record_failure(failed);
    co_return !failed;
}

asio::awaitable<bool> session::begin(unsigned status, const header_list& headers) {
    if (core_.draining) {
        keep_alive_ = false;
    }
    const std::string head = head_text(status, headers, std::nullopt);
    stream_.expires_after(write_timeout);
    const auto [failed, sent] = co_await asio::async_write(stream_, asio::buffer(head), as_result);
    record_failure(failed);
    co_return !failed;
}

asio::awaitable<bool> session::write(std::string_view bytes) {
    stream_.expires_after(write_timeout);
    const auto [failed, sent] =
        co_await asio::async_write(stream_, asio::buffer(bytes.data(), bytes.size()), as_result);
    record_failure(failed);
    co_return !failed;
}

asio::awaitable<bool> session::finish() {
    constexpr std::string_view last_chunk = "0\r\n\r\n";
    answered_ = co_await write(last_chunk);
    co_return answered_;
}

}  // namespace burdockdeck::gateway
