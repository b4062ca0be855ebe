// Clock for leases and silence timeouts. It also advances while the machine is suspended.
#pragma once

#include "base/time.h"

namespace burdockdeck::runtime {

// Time since boot, including time in suspension. Monotonic: unaffected by changes of the time of
// day.
[[nodiscard]] time_point boot_now();

}  // namespace burdockdeck::runtime
