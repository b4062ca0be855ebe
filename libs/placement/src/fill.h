// Loads models on all empty engines in one round, for example after a power loss, in order of each
// copy's gain.
#pragma once

#include <vector>

#include "plan_state.h"

namespace burdockdeck::placement {

// At most one load for each engine without models or a pending order, in descending order of gain.
// Loads on empty engines disturb no requests, so the limits on moves per round and on engines with
// pending orders do not apply; the store's rate limit does.
[[nodiscard]] std::vector<move> fill_empty_engines(plan_state& p);

}  // namespace burdockdeck::placement
