// A token bucket with reserves for the lines that explain failures.
#include "runtime/log_budget.h"

#include <algorithm>

namespace burdockdeck::runtime {

namespace {

// A failure comes with a burst of lines; two seconds of them pass at once.
constexpr double burst_seconds = 2;
// Shares of the bucket that lines of less worth leave to those of more.
constexpr double reserve_from_served = 0.5;
constexpr double reserve_from_failed = 0.1;
// Changes are few: they may overdraw the bucket by its whole size.
constexpr double reserve_from_changes = -1;
constexpr duration report_interval = std::chrono::seconds(1);

double reserve_from(line_worth w) {
    switch (w) {
        case line_worth::served:
            return reserve_from_served;
        case line_worth::failed:
            return reserve_from_failed;
        case line_worth::change:
            break;
    }
    return reserve_from_changes;
}

}  // namespace

log_budget make_log_budget(std::uint64_t bytes_per_second, time_point now) {
    log_budget b;
    b.bytes_per_second = static_cast<double>(bytes_per_second);
    b.burst_bytes = burst_seconds * b.bytes_per_second;
    b.left_bytes = b.burst_bytes;
    b.filled_at = now;
    b.reported_at = now;
    return b;
}

bool admit_line(log_budget& b, std::string_view event, line_worth worth, std::size_t bytes,
                time_point now) {
    const double seconds = std::max(0.0, to_seconds(now - b.filled_at));
    b.left_bytes = std::min(b.burst_bytes, b.left_bytes + seconds * b.bytes_per_second);
    b.filled_at = std::max(b.filled_at, now);
    const double after = b.left_bytes - static_cast<double>(bytes);
    if (after < reserve_from(worth) * b.burst_bytes) {
        note_unwritten(b, event);
        return false;
    }
    b.left_bytes = after;
    return true;
}

void note_unwritten(log_budget& b, std::string_view event) {
    const auto found = b.omitted.find(event);
    if (found != b.omitted.end()) {
        ++found->second;
    } else {
        b.omitted.emplace(event, 1);
    }
}

std::vector<omitted_lines> take_omitted(log_budget& b, time_point now) {
    std::vector<omitted_lines> out;
    if (b.omitted.empty() || now - b.reported_at < report_interval) {
        return out;
    }
    for (const auto& [event, count] : b.omitted) {
        out.push_back({event, count});
    }
    b.omitted.clear();
    b.reported_at = now;
    return out;
}

}  // namespace burdockdeck::runtime
