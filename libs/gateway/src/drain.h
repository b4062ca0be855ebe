// Decides which requests a draining gateway refuses, so that another gateway serves them.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace burdockdeck::gateway {

// True if a request that arrives `since_stop` after the stop signal may not end within `grace` of
// the signal. `output_tokens` is the most that it may generate, 0 for calls to plain services.
[[nodiscard]] bool may_outlast_drain(duration since_stop, duration grace,
                                     std::uint32_t output_tokens);

}  // namespace burdockdeck::gateway
