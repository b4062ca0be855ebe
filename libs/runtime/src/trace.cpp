// Writes spans. Each line is one resourceSpans object, so that a collector can import the file.
#include "runtime/trace.h"

#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <mutex>
#include <random>

namespace burdockdeck::runtime {

namespace {

namespace json = boost::json;

struct span_file {
    std::mutex mutex;
    std::ofstream out;
    std::string program;
};

span_file& spans() {
    static span_file instance;
    return instance;
}

bool is_hex(std::string_view text) {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

std::string random_hex(std::size_t digits) {
    thread_local std::mt19937_64 rng(std::random_device{}());
    constexpr std::string_view alphabet = "0123456789abcdef";
    std::string out;
    while (out.size() < digits) {
        std::uint64_t bits = rng();
        for (int i = 0; i < 16 && out.size() < digits; ++i, bits >>= 4U) {
            out += alphabet[bits & 15U];
        }
    }
    return out;
}

std::optional<trace_context> parse_traceparent(std::string_view header) {
    // 00-<32 digits>-<16 digits>-<2 digits>
    if (header.size() != 55 || header.substr(0, 3) != "00-" || header[35] != '-' ||
        header[52] != '-') {
        return std::nullopt;
    }
    trace_context c;
    c.trace_id = header.substr(3, 32);
    c.span_id = header.substr(36, 16);
    if (!is_hex(c.trace_id) || !is_hex(c.span_id) || !is_hex(header.substr(53))) {
        return std::nullopt;
    }
    c.sampled = (header[54] - '0') % 2 != 0;
    return c;
}

std::string to_traceparent(const trace_context& c) {
    return "00-" + c.trace_id + "-" + c.span_id + (c.sampled ? "-01" : "-00");
}

trace_context child_of(const std::optional<trace_context>& parent) {
    trace_context c;
    c.trace_id = parent ? parent->trace_id : random_hex(32);
    c.span_id = random_hex(16);
    c.sampled = !parent || parent->sampled;
    return c;
}

void open_spans(const std::string& program, const std::string& file) {
    spans().program = program;
    if (!file.empty()) {
        spans().out.open(file, std::ios::app);
    }
}

std::int64_t wall_clock_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void write_span(const trace_context& span, std::string_view parent_span_id, std::string_view name,
                std::int64_t start_ns, std::int64_t end_ns,
                std::initializer_list<std::pair<std::string_view, std::string_view>> attributes) {
    if (!spans().out.is_open() || !span.sampled) {
        return;
    }
    json::array list;
    for (const auto& [key, text] : attributes) {
        list.push_back({{"key", key}, {"value", {{"stringValue", text}}}});
    }
    const json::object body{{"traceId", span.trace_id},
                            {"spanId", span.span_id},
                            {"parentSpanId", parent_span_id},
                            {"name", name},
                            {"kind", 2},
                            {"startTimeUnixNano", std::to_string(start_ns)},
                            {"endTimeUnixNano", std::to_string(end_ns)},
                            {"attributes", list}};
    const json::object resource{
        {"attributes", json::array{json::object{{"key", "service.name"},
                                                {"value", {{"stringValue", spans().program}}}}}}};
    const json::object scope{{"spans", json::array{body}}};
    const json::object line{
        {"resourceSpans",
         json::array{json::object{{"resource", resource}, {"scopeSpans", json::array{scope}}}}}};
    const std::string text = json::serialize(line);
    const std::lock_guard lock(spans().mutex);
    spans().out << text << "\n" << std::flush;
}

}  // namespace burdockdeck::runtime
