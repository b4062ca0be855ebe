// A token bucket that reserves part of its capacity for lines of higher priority.
#include "runtime/log_budget.h"

#include <algorithm>

namespace burdockdeck::runtime {

namespace {

// Failures cause bursts of lines: a burst of two seconds' bytes is allowed.
constexpr double burst_seconds = 2;
// A line is dropped if it would leave the bucket filled to less than this share of its size.
constexpr double min_fill_served = 0.5;
constexpr double min_fill_failed = 0.1;
// State changes are rare: they may overdraw the bucket by its full size.
constexpr double min_fill_change = -1;
constexpr duration report_interval = std::chrono::seconds(1);

double min_fill(line_priority p) {
    switch (p) {
        case line_priority::served:
            return min_fill_served;
        case line_priority::failed:
            return min_fill_failed;
        case line_priority::change:
            break;
    }
    return min_fill_change;
}

}  // namespace

log_budget make_log_budget(std::uint64_t bytes_per_second, time_point now) {
    log_budget b;
    b.bytes_per_second = static_cast<double>(bytes_per_second);
    b.burst_bytes = burst_seconds * b.bytes_per_second;
    b.available_bytes = b.burst_bytes;
    b.refilled_at = now;
    b.reported_at = now;
    return b;
}

bool admit_line(log_budget& b, std::string_view event, line_priority priority, std::size_t bytes,
                time_point now) {
    const double seconds = std::max(0.0, to_seconds(now - b.refilled_at));
    b.available_bytes = std::min(b.burst_bytes, b.available_bytes + seconds * b.bytes_per_second);
    b.refilled_at = std::max(b.refilled_at, now);
    const double remaining = b.available_bytes - static_cast<double>(bytes);
    if (remaining < min_fill(priority) * b.burst_bytes) {
        record_dropped_line(b, event);
        return false;
    }
    b.available_bytes = remaining;
    return true;
}

void record_dropped_line(log_budget& b, std::string_view event) {
    const auto found = b.dropped.find(event);
    if (found != b.dropped.end()) {
        ++found->second;
    } else {
        b.dropped.emplace(event, 1);
    }
}

std::vector<dropped_lines> take_dropped(log_budget& b, time_point now) {
    std::vector<dropped_lines> out;
    if (b.dropped.empty() || now - b.reported_at < report_interval) {
        return out;
    }
    for (const auto& [event, count] : b.dropped) {
        out.push_back({event, count});
    }
    b.dropped.clear();
    b.reported_at = now;
    return out;
}

}  // namespace burdockdeck::runtime
