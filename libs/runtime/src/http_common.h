// Boost.Beast helpers shared by the HTTP server and client.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "runtime/http.h"

namespace burdockdeck::runtime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Completion token: co_await returns a tuple of error code and results instead of throwing.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

[[nodiscard]] inline tcp::endpoint to_asio(const settings::endpoint& e) {
    return {asio::ip::make_address(e.ip), e.port};
}

// Copies the headers of a Beast message into a list.
template <class Fields>
[[nodiscard]] header_list headers_of(const Fields& fields) {
    header_list out;
    for (const auto& f : fields) {
        out.emplace_back(f.name_string(), f.value());
    }
    return out;
}

}  // namespace burdockdeck::runtime
