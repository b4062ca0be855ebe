// After a loss of power: engines that hold nothing are all filled at once, by what each copy is
// worth.
#pragma once

#include <vector>

#include "plan_state.h"

namespace burdockdeck::placement {

// A load for each engine that holds nothing and has no order, the worthiest copies first. A load
// there disturbs nobody, so neither the number of moves a round nor that of engines under orders
// limits it; the store's rate does.
[[nodiscard]] std::vector<move> fill_empty_engines(plan_state& p);

}  // namespace burdockdeck::placement
