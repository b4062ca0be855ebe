// Checks heads line by line, after RFC 9112.
#include "runtime/answer_head.h"

#include <algorithm>

#include "http_common.h"

namespace burdockdeck::runtime {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t read_bytes = 4 * 1024;
// Digits of a length: no overflow in 64 bits.
constexpr std::size_t max_length_digits = 18;
constexpr unsigned switching_protocols = 101;
constexpr unsigned no_content = 204;
constexpr unsigned last_status = 599;

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_digits(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_digit);
}

// A character of a field's name (`tchar`).
bool is_token_character(char c) {
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           others.find(c) != std::string_view::npos;
}

// True for text without control characters except tabs.
bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return "";
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

struct status_line {
    bool http_1_1 = false;
    unsigned status = 0;
};

std::string read_status_line(std::string_view line, status_line& out) {
    constexpr std::string_view prefix = "HTTP/1.";
    constexpr std::size_t version_at = prefix.size();
    constexpr std::size_t status_at = version_at + 2;
    constexpr std::size_t reason_at = status_at + 3;
    const bool has_version = line.size() >= reason_at && line.starts_with(prefix) &&
                             (line[version_at] == '0' || line[version_at] == '1') &&
                             line[version_at + 1] == ' ';
    if (!has_version) {
        return "the status line does not begin with HTTP/1.1 or HTTP/1.0";
    }
    const std::string_view digits = line.substr(status_at, 3);
    const bool ends_well = line.size() == reason_at || line[reason_at] == ' ';
    if (!is_digits(digits) || !ends_well) {
        return "the status is not a number of three digits";
    }
    out.http_1_1 = line[version_at] == '1';
    out.status = static_cast<unsigned>(std::stoul(std::string(digits)));
    if (out.status < 100 || out.status > last_status) {
        return "status " + std::string(digits) + " is out of range";
    }
    return is_printable(line.substr(reason_at)) ? "" : "a control character in the status line";
}

struct framing {
    std::size_t lengths = 0;
    std::size_t codings = 0;
    bool empty = true;
};

std::string read_field(std::string_view line, framing& f) {
    if (line.front() == ' ' || line.front() == '\t') {
        return "a field is continued on another line";
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_token_character)) {
        return "the name of a field is no token";
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!is_printable(value)) {
        return "a control character in the field " + std::string(name);
    }
    if (beast::iequals(name, "Content-Length")) {
        ++f.lengths;
        f.empty = value == "0";
        if (!is_digits(value) || value.size() > max_length_digits) {
            return "Content-Length is no number";
        }
    }
    if (beast::iequals(name, "Transfer-Encoding")) {
        ++f.codings;
        if (!beast::iequals(value, "chunked")) {
            return "a transfer coding other than chunked";
        }
    }
    return "";
}

std::string fault_in_framing(const status_line& s, const framing& f) {
    if (f.lengths + f.codings > 1) {
        return "more than one field states where the body ends";
    }
    if (f.codings > 0 && !s.http_1_1) {
        return "chunks in HTTP/1.0";
    }
    const bool bodiless = s.status / 100 == 1 || s.status == no_content;
    if (bodiless && (f.codings > 0 || !f.empty)) {
        return "a body with status " + std::to_string(s.status);
    }
    return s.status == switching_protocols ? "a change of protocol that was not asked for" : "";
}

// True if a line ends without a carriage return, looking from `from` on.
bool has_bare_line_feed(std::string_view text, std::size_t from) {
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at == 0 || text[at - 1] != '\r') {
            return true;
        }
    }
    return false;
}

std::string_view text_of(const beast::flat_buffer& buffer) {
    const auto data = buffer.data();
    return {static_cast<const char*>(data.data()), data.size()};
}

}  // namespace

std::string fault_in_answer_head(std::string_view head) {
    status_line status;
    framing f;
    bool first = true;
    while (true) {
        const std::size_t end = head.find(line_end);
        if (end == std::string_view::npos) {
            return "the head does not end with an empty line";
        }
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + line_end.size());
        if (line.empty() && !first) {
            return head.empty() ? fault_in_framing(status, f) : "bytes after the head";
        }
        std::string fault = first ? read_status_line(line, status) : read_field(line, f);
        if (!fault.empty()) {
            return fault;
        }
        first = false;
    }
}

asio::awaitable<head_read> read_answer_head(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                            std::size_t max_bytes) {
    head_read out;
    std::size_t scanned = 0;
    while (true) {
        const std::string_view text = text_of(buffer);
        const std::size_t end =
            text.find(head_end, scanned < head_end.size() ? 0 : scanned - head_end.size());
        const std::size_t head_size =
            end == std::string_view::npos ? text.size() : end + head_end.size();
        if (has_bare_line_feed(text.substr(0, head_size), scanned)) {
            out.fault = "a line that ends without a carriage return";
            co_return out;
        }
        if (end != std::string_view::npos && head_size <= max_bytes) {
            out.size = head_size;
            out.fault = fault_in_answer_head(text.substr(0, head_size));
            co_return out;
        }
        if (text.size() >= max_bytes) {
            out.failed = http::error::header_limit;
            co_return out;
        }
        scanned = text.size();
        const std::size_t room = std::min(read_bytes, max_bytes - scanned);
        const auto [failed, got] = co_await stream.async_read_some(buffer.prepare(room), as_result);
        buffer.commit(got);
        if (failed) {
            out.failed = failed == asio::error::eof && scanned + got > 0
                             ? http::make_error_code(http::error::partial_message)
                         : failed == asio::error::eof
                             ? http::make_error_code(http::error::end_of_stream)
                             : failed;
            co_return out;
        }
    }
}

}  // namespace burdockdeck::runtime
