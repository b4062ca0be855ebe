// The way of one request: its route, the choice of upstreams, sends, retries, resumption, refusal.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "session.h"

namespace burdockdeck::gateway {

// Answers `r` on `caller`, or ends the connection so that nothing looks whole that is not.
boost::asio::awaitable<void> serve(core& c, session& caller, caller_request r);

// Ends attempts whose upstream has fallen silent, so that the next one can begin.
void abort_silent_attempts(core& c, time_point now);

}  // namespace burdockdeck::gateway
