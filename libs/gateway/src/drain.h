// Which requests a stopping gateway leaves to others.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace burdockdeck::gateway {

// True if a request that arrives `since` after the signal to stop might not end within `grace` of
// the signal. `output_tokens` is the most that it may generate, 0 for calls to plain services.
[[nodiscard]] bool may_outlast_drain(duration since_stop, duration grace,
                                     std::uint32_t output_tokens);

}  // namespace burdockdeck::gateway
