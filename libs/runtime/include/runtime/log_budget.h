// Limits the log's byte rate and decides which lines are dropped under load.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace burdockdeck::runtime {

// Priority of a log line, in increasing order: lower priorities are dropped first.
enum class line_priority {
    // A request that succeeded, or a routine action.
    served,
    // A request, an attempt or an order that failed.
    failed,
    // A change of the process's state: start, stop, role, dependencies.
    change,
};

// A token bucket that counts bytes.
struct log_budget {
    // Bytes a second, above 0.
    double bytes_per_second = 0;
    // Between -burst_bytes and burst_bytes.
    double available_bytes = 0;
    double burst_bytes = 0;
    time_point refilled_at{};
    // Number of lines dropped since the last report, by event.
    std::map<std::string, std::uint64_t, std::less<>> dropped;
    time_point reported_at{};
};

struct dropped_lines {
    std::string event;
    std::uint64_t count = 0;
};

// Creates a full bucket. `bytes_per_second` must be above 0.
[[nodiscard]] log_budget make_log_budget(std::uint64_t bytes_per_second, time_point now);

// Takes `bytes` and returns true if a line of this priority may be written now; otherwise counts it
// as dropped.
[[nodiscard]] bool admit_line(log_budget& b, std::string_view event, line_priority priority,
                              std::size_t bytes, time_point now);

// Counts a dropped line, such as one that was admitted but could not be written.
void record_dropped_line(log_budget& b, std::string_view event);

// Returns and resets the counts of dropped lines, at most once a second; empty otherwise.
[[nodiscard]] std::vector<dropped_lines> take_dropped(log_budget& b, time_point now);

}  // namespace burdockdeck::runtime
