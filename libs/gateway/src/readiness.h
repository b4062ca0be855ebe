// Whether this gateway tells the platform to send it callers. Asked on another loop than the one
// that carries traffic, so it also checks that the traffic loop runs.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace burdockdeck::gateway {

struct core;

// The steady clock does not count the time for which the machine is suspended.
using steady_time = std::chrono::steady_clock::time_point;

// A traffic loop that has run no task for this long counts as stuck.
inline constexpr std::chrono::milliseconds max_traffic_stall{2000};

// True if a deployment is in force, the gateway is not stopping and the traffic loop runs. Safe
// from any thread.
[[nodiscard]] bool is_ready(const core& c, steady_time now);
// Records at short intervals that the traffic loop runs. To be started on that loop.
boost::asio::awaitable<void> record_traffic_progress(core& c);

}  // namespace burdockdeck::gateway
