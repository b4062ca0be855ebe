// Handles one request: routing, choice of upstreams, attempts, retries, stream resumption, refusal.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "session.h"

namespace burdockdeck::gateway {

// Answers `r` on `caller`. If an answer cannot be completed, the connection is closed, so that
// the caller does not mistake the answer for a complete one.
boost::asio::awaitable<void> serve(core& c, session& caller, caller_request r);

}  // namespace burdockdeck::gateway
