// Decides which log lines are written when there are more than the bytes a second allow.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace burdockdeck::runtime {

// What a line is kept for; later ones are kept before earlier ones.
enum class line_worth {
    // A request that went as it should.
    served,
    // A request, an attempt or an order that failed.
    failed,
    // What the process believes, or its start, stop and dependencies.
    change,
};

// A bucket of bytes that fills at a fixed rate.
struct log_budget {
    // Bytes a second, above 0.
    double bytes_per_second = 0;
    // Between minus and plus `burst_bytes`.
    double left_bytes = 0;
    double burst_bytes = 0;
    time_point filled_at{};
    // Lines left out since the last report, by event.
    std::map<std::string, std::uint64_t, std::less<>> omitted;
    time_point reported_at{};
};

struct omitted_lines {
    std::string event;
    std::uint64_t count = 0;
};

// A full bucket. `bytes_per_second` must be above 0.
[[nodiscard]] log_budget make_log_budget(std::uint64_t bytes_per_second, time_point now);

// Takes `bytes` if a line of this worth may be written now; else counts it as left out.
[[nodiscard]] bool admit_line(log_budget& b, std::string_view event, line_worth worth,
                              std::size_t bytes, time_point now);

// Counts a line that was admitted and could not be written.
void note_unwritten(log_budget& b, std::string_view event);

// What was left out, at most once a second; empty otherwise.
[[nodiscard]] std::vector<omitted_lines> take_omitted(log_budget& b, time_point now);

}  // namespace burdockdeck::runtime
