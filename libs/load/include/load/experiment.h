// Load experiments: read from YAML, run as open-loop load on entries, reported as text, JSON and
// SVG.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "settings/common.h"

namespace burdockdeck::load {

// One kind of request in the load mix.
struct request_class {
    std::string name;
    // Share of all arrivals; shares need not sum to one.
    double share = 1.0;
    std::string path = "/v1/completions";
    // Completions: models, one chosen at random for each request. Empty for service calls.
    std::vector<std::string> models;
    std::uint32_t max_tokens = 16;
    bool stream = false;
    // Sends a new Idempotency-Key with each request.
    bool keyed = false;
    std::string priority;
    duration deadline = std::chrono::seconds(10);
};

// A period of constant arrival rate.
struct phase {
    duration length = std::chrono::seconds(10);
    // Arrivals per second, as a Poisson process.
    double rate = 100.0;
};

struct experiment {
    std::string name;
    std::vector<settings::endpoint> targets;
    // The targets are upstreams: requests carry the headers that an agent would add.
    bool direct = false;
    std::uint64_t seed = 1;
    std::uint32_t threads = 2;
    std::vector<request_class> classes;
    std::vector<phase> phases;
};

[[nodiscard]] result<experiment, settings::settings_error> load_experiment(const std::string& path);

// Results of one request class. Latencies are measured from the scheduled arrival time, so that
// delays of the sender itself are included (no coordinated omission).
struct class_report {
    std::string name;
    std::uint64_t sent = 0;
    std::uint64_t completed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    // Completed within the deadline.
    std::uint64_t in_time = 0;
    std::uint64_t tokens = 0;
    // Sorted, in seconds.
    std::vector<double> latencies;
    std::vector<double> first_bytes;
    std::vector<double> token_gaps;
};

struct report {
    std::string experiment;
    double seconds = 0.0;
    std::vector<class_report> classes;
};

// The q-quantile of sorted values by the nearest-rank method, for q in [0, 1]; zero if empty.
[[nodiscard]] double quantile(const std::vector<double>& sorted, double q);

[[nodiscard]] report run(const experiment& e);
void print_text(const report& r, std::ostream& out);
[[nodiscard]] std::string to_json(const report& r);
// Plots latency against the share of requests, one line per class.
[[nodiscard]] std::string to_svg(const report& r);

}  // namespace burdockdeck::load
