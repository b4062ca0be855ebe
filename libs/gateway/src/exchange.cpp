// Writes requests and reads answers with Beast's parsers, with limits on time and memory.
#include "exchange.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "runtime/answer_head.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t max_answer_header_bytes = 64 * 1024;
constexpr std::size_t read_chunk_bytes = 16 * 1024;
// Interim answers (1xx) accepted before the final one. None is expected, since no request has an
// Expect header.
constexpr int max_interim_answers = 4;
// Requests up to this length fit into the buffers of the connection.
constexpr std::size_t max_buffered_request_bytes = 48 * 1024;
// Most bytes of a body that are read to skip an answer to another request.
constexpr std::size_t max_skipped_bytes = 256 * 1024;
// Late answers to earlier requests that are skipped; one more makes the attempt fail.
constexpr int max_unrelated_answers = 2;
constexpr std::array<std::string_view, 8> hop_headers{
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade"};

std::string to_text(const outgoing_request& r) {
    std::string out = r.method + " " + r.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : r.headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    const bool bodiless = r.body->empty() && (r.method == "GET" || r.method == "HEAD" ||
                                              r.method == "DELETE" || r.method == "OPTIONS");
    if (!bodiless) {
        out += "Content-Length: " + std::to_string(r.body->size()) + "\r\n";
    }
    out += "\r\n";
    return out;
}

end_cause cause_of(const boost::system::error_code& e) {
    if (e == beast::error::timeout) {
        return end_cause::timeout;
    }
    if (e == http::error::end_of_stream || e == http::error::partial_message ||
        e == asio::error::eof) {
        return end_cause::upstream_closed;
    }
    const bool reset = e == asio::error::connection_reset || e == asio::error::connection_aborted ||
                       e == asio::error::broken_pipe;
    return reset ? end_cause::upstream_reset : end_cause::bad_answer;
}

}  // namespace

bool is_hop_header(std::string_view name, std::string_view connection) {
    for (const std::string_view hop : hop_headers) {
        if (equals_ignore_case(hop, name)) {
            return true;
        }
    }
    while (!connection.empty()) {
        const std::size_t comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        while (!token.empty() && token.front() == ' ') {
            token.remove_prefix(1);
        }
        while (!token.empty() && token.back() == ' ') {
            token.remove_suffix(1);
        }
        if (equals_ignore_case(token, name)) {
            return true;
        }
        connection = comma == std::string_view::npos ? "" : connection.substr(comma + 1);
    }
    return false;
}

unsigned exchange::status() const {
    return parser_->get().result_int();
}

const header_list& exchange::headers() const {
    return headers_;
}

const answer_facts& exchange::facts() const {
    return facts_;
}

const std::string& exchange::failure() const {
    return failure_;
}

std::optional<std::uint64_t> exchange::content_length() const {
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool exchange::ends_with_connection() const {
    return parser_->need_eof();
}

end_cause exchange::ended_by() const {
    return cause_;
}

void exchange::set_failure(std::string_view step, const boost::system::error_code& e) {
    failure_ = std::string(step) + ": " + e.message();
    set_cause(cause_of(e));
}

void exchange::set_cause(end_cause c) {
    if (cause_ == end_cause::none) {
        cause_ = c;
    }
}

asio::awaitable<bool> exchange::write(const outgoing_request& r, deadline until) {
    const std::string head = to_text(r);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head), asio::buffer(*r.body)};
    c_->stream.expires_at(until);
    const auto [failed, sent] = co_await asio::async_write(c_->stream, parts, as_result);
    if (failed) {
        record_error(*c_, failed);
        set_failure("write", failed);
    }
    co_return !failed;
}

asio::awaitable<bool> exchange::skip_body(deadline until) {
    std::string bytes;
    std::size_t skipped = 0;
    body_status s = body_status::more;
    while (s == body_status::more && skipped < max_skipped_bytes) {
        s = co_await read_until(bytes, until);
        skipped += bytes.size();
        bytes.clear();
    }
    co_return s == body_status::complete;
}

asio::awaitable<bool> exchange::read_head(const outgoing_request& r, deadline until) {
    int unrelated_answers = 0;
    int interim_answers = 0;
    while (true) {
        parser_ = std::make_unique<parser>();
        parser_->body_limit(boost::none);
        parser_->header_limit(max_answer_header_bytes);
        parser_->skip(r.method == "HEAD");
        c_->stream.expires_at(until);
        const runtime::head_read head =
            co_await runtime::read_answer_head(c_->stream, c_->buffer, max_answer_header_bytes);
        if (!head.failed && !head.fault.empty()) {
            failure_ = "received no answer: " + head.fault;
            set_cause(end_cause::bad_answer);
            co_return false;
        }
        boost::system::error_code failed = head.failed;
        if (!failed) {
            c_->buffer.consume(parser_->put(asio::buffer(c_->buffer.data(), head.size), failed));
        }
        if (failed) {
            set_failure("read head", failed);
            co_return false;
        }
        if (status() / 100 == 1) {
            if (++interim_answers > max_interim_answers) {
                failure_ = "more interim (1xx) answers than the limit";
                set_cause(end_cause::bad_answer);
                co_return false;
            }
            continue;
        }
        headers_.clear();
        for (const auto& f : parser_->get()) {
            headers_.emplace_back(f.name_string(), f.value());
        }
        facts_ = protocol_.read_answer(status(), headers_);
        if (on_answer_) {
            on_answer_(facts_);
        }
        const bool first_on_connection = c_->requests == 1;
        if (facts_.echoed_id == r.request_id) {
            // Without an id, an earlier refusal cannot be told from one of this request.
            facts_.not_run = facts_.not_run && (first_on_connection || !r.request_id.empty());
            co_return true;
        }
        if (facts_.echoed_id.empty() && first_on_connection) {
            failure_ = "received an answer without the request's id";
            set_cause(end_cause::bad_answer);
            co_return false;
        }
        runtime::log_event(runtime::severity::info, runtime::event::answer_skipped,
                           {{"request", r.request_id},
                            {"answer_to", facts_.echoed_id},
                            {"status", static_cast<std::uint64_t>(status())},
                            {"requests_on_connection", c_->requests}});
        const bool skipped_answer = ++unrelated_answers <= max_unrelated_answers &&
                                    !parser_->need_eof() && co_await skip_body(until);
        if (!skipped_answer) {
            failure_ = "received the answer to another request";
            set_cause(end_cause::bad_answer);
            co_return false;
        }
    }
}

asio::awaitable<send_status> exchange::send(const outgoing_request& r, duration timeout) {
    ++c_->requests;
    if (r.body->size() > max_buffered_request_bytes) {
        // An upstream may read a long body late; its kernel acknowledges none of it meanwhile.
        tolerate_silence(timeout);
    }
    const deadline until = std::chrono::steady_clock::now() + timeout;
    const bool written = co_await write(r, until);
    if (aborted_) {
        co_return send_status::no_answer;
    }
    // The answer is read even if the write failed: an upstream may answer and close before it has
    // read the whole request.
    const bool answered = co_await read_head(r, until);
    if (!answered || aborted_) {
        co_return send_status::no_answer;
    }
    if (!written) {
        // The request was sent only in part, so the connection cannot be used for another one.
        parser_->get().keep_alive(false);
    }
    co_return send_status::answered;
}

asio::awaitable<body_status> exchange::read(std::string& into, duration timeout) {
    co_return co_await read_until(into, std::chrono::steady_clock::now() + timeout);
}

asio::awaitable<body_status> exchange::read_until(std::string& into, deadline until) {
    if (parser_->is_done()) {
        co_return body_status::complete;
    }
    std::array<char, read_chunk_bytes> chunk{};
    parser_->get().body().data = chunk.data();
    parser_->get().body().size = chunk.size();
    parser_->get().body().more = true;
    c_->stream.expires_at(until);
    const auto [failed, size] =
        co_await http::async_read_some(c_->stream, c_->buffer, *parser_, as_result);
    if (aborted_) {
        // Bytes read just before are not forwarded, since the request may go on elsewhere.
        failure_ = "read body: closed by this gateway";
        co_return body_status::broken;
    }
    into.append(chunk.data(), chunk.size() - parser_->get().body().size);
    if (failed && failed != http::error::need_buffer) {
        set_failure("read body", failed);
        co_return body_status::broken;
    }
    if (parser_->is_done() && parser_->need_eof() && has_failed(*c_)) {
        set_failure("read body: the answer states no length and its connection failed",
                    c_->error ? c_->error : asio::error::connection_reset);
        co_return body_status::broken;
    }
    co_return parser_->is_done() ? body_status::complete : body_status::more;
}

void exchange::mark_truncated() {
    failure_ = "read body: the connection ended inside the answer";
    set_cause(end_cause::upstream_closed);
}

bool exchange::has_unread_bytes() {
    return peek(*c_) == arrival::bytes;
}

std::string exchange::unacknowledged() const {
    const std::optional<int> bytes = unacknowledged_bytes(*c_);
    return bytes ? std::to_string(*bytes) : "unknown";
}

void exchange::tolerate_silence(duration silence) {
    gateway::tolerate_silence(*c_, silence);
}

void exchange::abort() {
    aborted_ = true;
    set_cause(end_cause::aborted);
    abandon(*c_);
}

connection_ptr exchange::take_reusable(duration default_keep_alive) {
    const bool reusable = !aborted_ && parser_ && parser_->is_done() && !parser_->need_eof() &&
                          parser_->get().keep_alive() && c_->buffer.size() == 0;
    if (!reusable) {
        return nullptr;
    }
    c_->keep_alive = facts_.keep_alive.value_or(default_keep_alive);
    return std::move(c_);
}

}  // namespace burdockdeck::gateway
