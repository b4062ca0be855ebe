// Decides which requests a draining gateway refuses, so that another gateway serves them, and ends
// those that are still open when its grace time is over.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace burdockdeck::gateway {

struct core;

// True if a request that arrives `since_stop` after the stop signal may not end within `grace` of
// the signal. `output_tokens` is the most that it may generate, 0 for calls to plain services;
// those may take `call_timeout`.
[[nodiscard]] bool may_outlast_drain(duration since_stop, duration grace,
                                     std::uint32_t output_tokens, duration call_timeout);

// Gives up the open requests of which the caller has nothing yet, so that each is answered with an
// error instead of a closed connection.
void end_unanswered_requests(core& c, time_point now);

}  // namespace burdockdeck::gateway
