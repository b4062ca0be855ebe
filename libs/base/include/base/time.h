// Time types. Decision logic takes the current time as an argument and never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace burdockdeck {

// A duration in nanoseconds.
using duration = std::chrono::nanoseconds;

// A time on the monotonic clock. Not comparable between processes.
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
