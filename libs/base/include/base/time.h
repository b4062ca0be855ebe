// Time as the deciding functions see it: an argument, never read inside them.
#pragma once

#include <chrono>
#include <cstdint>

namespace burdockdeck {

// A duration in nanoseconds.
using duration = std::chrono::nanoseconds;

// A point on a process-local monotonic clock. Points of two processes are not comparable.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// `d` in whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

// `d` in seconds.
[[nodiscard]] constexpr double to_seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

}  // namespace burdockdeck
