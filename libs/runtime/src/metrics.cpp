// Latencies are collected with Boost.Histogram; prometheus-cpp serializes the text.
#include "runtime/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/histogram.hpp>
#include <fstream>
#include <map>
#include <mutex>

namespace burdockdeck::runtime {

namespace {

namespace histogram = boost::histogram;

constexpr int bucket_count = 64;
constexpr double min_seconds = 1e-5;
constexpr double max_seconds = 1e3;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using latency_histogram =
    decltype(histogram::make_histogram(log_axis(bucket_count, min_seconds, max_seconds)));

struct latencies {
    latency_histogram counts =
        histogram::make_histogram(log_axis(bucket_count, min_seconds, max_seconds));
    double sum = 0.0;
};

// A metric's name and label.
using series = std::pair<std::string, std::string>;

prometheus::ClientMetric labelled(const std::string& label) {
    prometheus::ClientMetric metric;
    const std::size_t equals = label.find('=');
    if (equals != std::string::npos) {
        metric.label.push_back({label.substr(0, equals), label.substr(equals + 1)});
    }
    return metric;
}

void fill_histogram(const latencies& from, prometheus::ClientMetric& to) {
    std::uint64_t cumulative = 0;
    const auto& axis = from.counts.axis();
    cumulative += static_cast<std::uint64_t>(from.counts.at(-1));
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += static_cast<std::uint64_t>(from.counts.at(i));
        to.histogram.bucket.push_back({cumulative, axis.bin(i).upper()});
    }
    cumulative += static_cast<std::uint64_t>(from.counts.at(axis.size()));
    to.histogram.sample_count = cumulative;
    to.histogram.sample_sum = from.sum;
}

}  // namespace

struct metrics::state {
    mutable std::mutex mutex;
    std::map<series, double> counters;
    std::map<series, double> gauges;
    std::map<series, latencies> histograms;
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::count(std::string_view name, std::string_view label, std::uint64_t increment) {
    const std::lock_guard lock(state_->mutex);
    state_->counters[{std::string(name), std::string(label)}] += static_cast<double>(increment);
}

void metrics::set(std::string_view name, double value, std::string_view label) {
    const std::lock_guard lock(state_->mutex);
    state_->gauges[{std::string(name), std::string(label)}] = value;
}

void metrics::observe(std::string_view name, duration latency, std::string_view label) {
    const std::lock_guard lock(state_->mutex);
    latencies& l = state_->histograms[{std::string(name), std::string(label)}];
    l.counts(to_seconds(latency));
    l.sum += to_seconds(latency);
}

std::string metrics::to_text() const {
    std::map<std::string, prometheus::MetricFamily> families;
    const auto family = [&](const std::string& name, prometheus::MetricType type) -> auto& {
        prometheus::MetricFamily& f = families[name];
        f.name = name;
        f.type = type;
        return f;
    };
    const std::lock_guard lock(state_->mutex);
    for (const auto& [key, value] : state_->counters) {
        auto metric = labelled(key.second);
        metric.counter.value = value;
        family(key.first, prometheus::MetricType::Counter).metric.push_back(metric);
    }
    for (const auto& [key, value] : state_->gauges) {
        auto metric = labelled(key.second);
        metric.gauge.value = value;
        family(key.first, prometheus::MetricType::Gauge).metric.push_back(metric);
    }
    for (const auto& [key, value] : state_->histograms) {
        auto metric = labelled(key.second);
        fill_histogram(value, metric);
        family(key.first, prometheus::MetricType::Histogram).metric.push_back(metric);
    }
    std::vector<prometheus::MetricFamily> all;
    all.reserve(families.size());
    for (auto& [name, f] : families) {
        all.push_back(std::move(f));
    }
    return prometheus::TextSerializer().Serialize(all);
}

std::uint64_t resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

duration processor_time() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto to_duration = [](const timeval& t) {
        return std::chrono::seconds(t.tv_sec) + std::chrono::microseconds(t.tv_usec);
    };
    return to_duration(usage.ru_utime) + to_duration(usage.ru_stime);
}

}  // namespace burdockdeck::runtime
