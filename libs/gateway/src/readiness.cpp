// Readiness, and the record that the traffic loop makes of its progress.
#include "readiness.h"

#include "core.h"
#include "runtime/http.h"

namespace burdockdeck::gateway {

namespace {

constexpr duration progress_interval = std::chrono::milliseconds(100);

}  // namespace

bool is_ready(const core& c, steady_time now) {
    return c.ready && !c.draining && now - c.traffic_ran_at.load() <= max_traffic_stall;
}

boost::asio::awaitable<void> record_traffic_progress(core& c) {
    while (true) {
        c.traffic_ran_at = std::chrono::steady_clock::now();
        co_await runtime::sleep_for(progress_interval);
    }
}

}  // namespace burdockdeck::gateway
