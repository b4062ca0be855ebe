// The clock of leases and silences: it goes on while the machine is suspended.
#pragma once

#include "base/time.h"

namespace burdockdeck::runtime {

// Time since the machine's start, suspensions included. Steady: the time of day does not move it.
[[nodiscard]] time_point boot_now();

}  // namespace burdockdeck::runtime
