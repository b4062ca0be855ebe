// Loading of adapters at engines, through their sidecars. Runs on the traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "dispatch/choice.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;

// Loads the adapter of `r` through the sidecar of the chosen upstream. False if that failed or took
// too long; the reason is then the request's last failure.
[[nodiscard]] boost::asio::awaitable<bool> ensure_adapter(core& c, request_state& r,
                                                          dispatch::choice to);

}  // namespace burdockdeck::gateway
