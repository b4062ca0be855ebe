// Reads CLOCK_BOOTTIME, which includes time in suspension.
#include "runtime/clock.h"

#include <ctime>

namespace burdockdeck::runtime {

time_point boot_now() {
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point(std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
}

}  // namespace burdockdeck::runtime
