// Metrics of one program: counters, gauges and latency histograms, exported as Prometheus text.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace burdockdeck::runtime {

// All functions are safe from any thread. Names follow the Prometheus conventions; `label` is one
// `key=value` pair or empty.
class metrics {
public:
    metrics();
    ~metrics();

    void count(std::string_view name, std::string_view label = "", std::uint64_t increment = 1);
    void set(std::string_view name, double value, std::string_view label = "");
    // Records one latency. Buckets are logarithmic from 10 microseconds to 1,000 seconds.
    void observe(std::string_view name, duration latency, std::string_view label = "");

    // All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string to_text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Resident set size of this process, in bytes.
[[nodiscard]] std::uint64_t resident_bytes();
// User and system CPU time used by this process.
[[nodiscard]] duration processor_time();

}  // namespace burdockdeck::runtime
