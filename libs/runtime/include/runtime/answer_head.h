// What the head of an HTTP/1.1 answer is. Heads are checked before they are parsed: the parser
// takes some texts for heads that are none, or that another reader would frame in another way.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace burdockdeck::runtime {

// Why `head`, from the status line to the empty line, is not the head of an answer; empty if it is.
// Only answers that this process can read to their right end are accepted: those with one length,
// with the only coding `chunked`, or with neither.
[[nodiscard]] std::string fault_in_answer_head(std::string_view head);

struct head_read {
    // The error of the connection, or that the head is longer than the limit.
    boost::system::error_code failed;
    // Why the bytes that arrived are no head; empty if they are, or if the connection failed.
    std::string fault;
    // Length of the head, which is at the begin of the buffer.
    std::size_t size = 0;
};

// Reads until `buffer` begins with a whole head, and checks it. Does not consume it.
boost::asio::awaitable<head_read> read_answer_head(boost::beast::tcp_stream& stream,
                                                   boost::beast::flat_buffer& buffer,
                                                   std::size_t max_bytes);

}  // namespace burdockdeck::runtime
