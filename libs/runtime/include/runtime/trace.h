// Tracing: W3C trace context is passed from hop to hop; each hop writes its span as one line of
// OTLP JSON.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burdockdeck::runtime {

// The identity of one span within its trace.
struct trace_context {
    // 32 and 16 lower-case hexadecimal digits.
    std::string trace_id;
    std::string span_id;
    bool sampled = true;
};

// Parses a `traceparent` header; nullopt if it is malformed.
[[nodiscard]] std::optional<trace_context> parse_traceparent(std::string_view header);
[[nodiscard]] std::string to_traceparent(const trace_context& c);
// Creates a span in the trace of `parent`, or in a new trace if `parent` is empty.
[[nodiscard]] trace_context child_of(const std::optional<trace_context>& parent);

// Opens the span file for appending; with an empty `file`, spans are dropped. Call once.
void open_spans(const std::string& program, const std::string& file);

// Writes a finished span; times are in nanoseconds since the epoch. Safe from any thread.
void write_span(const trace_context& span, std::string_view parent_span_id, std::string_view name,
                std::int64_t start_ns, std::int64_t end_ns,
                std::initializer_list<std::pair<std::string_view, std::string_view>> attributes);

// The wall clock in nanoseconds since the epoch.
[[nodiscard]] std::int64_t wall_clock_ns();

// `digits` random lower-case hexadecimal digits. Safe from any thread.
[[nodiscard]] std::string random_hex(std::size_t digits);

}  // namespace burdockdeck::runtime
