// Reads experiments and formats reports.
#include "load/experiment.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace burdockdeck::load {

namespace {

namespace json = boost::json;

constexpr std::array<double, 5> reported_quantiles{0.5, 0.9, 0.95, 0.99, 0.999};
constexpr double milliseconds_per_second = 1000.0;

request_class read_request_class(settings::map_reader& reader) {
    request_class c;
    c.name = reader.get_string("name");
    c.share = reader.get_number("share", 0.0, 1e6, 1.0);
    c.path = reader.get_string("path", "/v1/completions");
    c.models = reader.get_strings("models");
    c.max_tokens = static_cast<std::uint32_t>(reader.get_integer("max_tokens", 1, 1'000'000, 16));
    c.stream = reader.get_flag("stream", false);
    c.keyed = reader.get_flag("keyed", false);
    c.priority = reader.get_string("priority", "normal");
    c.deadline = reader.get_milliseconds("deadline_ms", 1, 86'400'000, 10'000);
    (void)reader.finish();
    return c;
}

phase read_phase(settings::map_reader& reader) {
    phase p;
    p.length = reader.get_milliseconds("length_ms", 1, 86'400'000, 10'000);
    p.rate = reader.get_number("rate", 0.001, 1e6, 100.0);
    (void)reader.finish();
    return p;
}

json::object quantiles_json(const std::vector<double>& sorted) {
    json::object out;
    for (const double q : reported_quantiles) {
        out["p" + std::to_string(q * 100).substr(0, 4)] =
            quantile(sorted, q) * milliseconds_per_second;
    }
    return out;
}

void print_quantiles(const char* what, const std::vector<double>& sorted, std::ostream& out) {
    out << "  " << std::left << std::setw(12) << what;
    for (const double q : reported_quantiles) {
        out << " p" << q * 100 << " " << std::fixed << std::setprecision(2)
            << quantile(sorted, q) * milliseconds_per_second << " ms" << std::defaultfloat;
    }
    out << "\n";
}

}  // namespace

result<experiment, settings::settings_error> load_experiment(const std::string& path) {
    settings::map_reader reader = settings::map_reader::load(path);
    experiment e;
    e.name = reader.get_string("name");
    e.targets = settings::get_endpoints(reader, "targets");
    e.direct = reader.get_flag("direct", false);
    e.seed = static_cast<std::uint64_t>(reader.get_integer("seed", 0, INT64_MAX, 1));
    e.threads = static_cast<std::uint32_t>(reader.get_integer("threads", 1, 64, 2));
    for (settings::map_reader& item : reader.get_maps("classes")) {
        e.classes.push_back(read_request_class(item));
    }
    for (settings::map_reader& item : reader.get_maps("phases")) {
        e.phases.push_back(read_phase(item));
    }
    if (e.classes.empty()) {
        reader.fail("classes", "must list at least one class");
    }
    if (e.phases.empty()) {
        reader.fail("phases", "must list at least one phase");
    }
    if (const auto failed = reader.finish()) {
        return *failed;
    }
    return e;
}

double quantile(const std::vector<double>& sorted, double q) {
    if (sorted.empty()) {
        return 0.0;
    }
    const double rank = std::ceil(q * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

void print_text(const report& r, std::ostream& out) {
    out << "experiment " << r.experiment << ", " << std::setprecision(4) << r.seconds << " s\n";
    for (const class_report& c : r.classes) {
        out << c.name << ": sent " << c.sent << ", completed " << c.completed << ", in time "
            << c.in_time << ", not run " << c.not_run << ", unknown " << c.unknown;
        out << ", " << std::setprecision(5) << static_cast<double>(c.completed) / r.seconds
            << " completed/s";
        if (c.tokens > 0) {
            out << ", " << std::setprecision(6) << static_cast<double>(c.tokens) / r.seconds
                << " tokens/s";
        }
        out << "\n";
        print_quantiles("latency", c.latencies, out);
        if (!c.first_bytes.empty()) {
            print_quantiles("first byte", c.first_bytes, out);
            print_quantiles("token gap", c.token_gaps, out);
        }
    }
}

std::string to_json(const report& r) {
    json::array classes;
    for (const class_report& c : r.classes) {
        classes.push_back(json::object{{"name", c.name},
                                       {"sent", c.sent},
                                       {"completed", c.completed},
                                       {"in_time", c.in_time},
                                       {"not_run", c.not_run},
                                       {"unknown", c.unknown},
                                       {"tokens", c.tokens},
                                       {"latency_ms", quantiles_json(c.latencies)},
                                       {"first_byte_ms", quantiles_json(c.first_bytes)},
                                       {"token_gap_ms", quantiles_json(c.token_gaps)}});
    }
    return json::serialize(
        json::object{{"experiment", r.experiment}, {"seconds", r.seconds}, {"classes", classes}});
}

std::string to_svg(const report& r) {
    constexpr double width = 640.0;
    constexpr double height = 360.0;
    constexpr double margin = 50.0;
    constexpr std::array<const char*, 4> colours{"#1f6f8b", "#b5562b", "#4f7f3a", "#7a4b8c"};
    double max_latency = 1e-3;
    for (const class_report& c : r.classes) {
        max_latency = std::max(max_latency, quantile(c.latencies, 1.0));
    }
    // The y axis is latency on a logarithmic scale from 0.1 ms; the x axis is the number of nines
    // of the share (90%, 99%, 99.9%).
    const double decades = std::log10(max_latency / 1e-4);
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"" << margin
        << "\" y=\"20\">" << r.experiment << ": latency (log, ms) by share of requests</text>\n";
    for (std::size_t k = 0; k < r.classes.size(); ++k) {
        const class_report& c = r.classes[k];
        svg << "<polyline fill=\"none\" stroke=\"" << colours[k % colours.size()] << "\" points=\"";
        for (int step = 0; step <= 90; ++step) {
            const double nines = step / 30.0;
            const double seconds =
                std::max(1e-4, quantile(c.latencies, 1.0 - std::pow(10, -nines)));
            const double x = margin + (width - 2 * margin) * nines / 3.0;
            const double y =
                height - margin - (height - 2 * margin) * std::log10(seconds / 1e-4) / decades;
            svg << x << "," << y << " ";
        }
        svg << "\"/>\n<text x=\"" << width - margin - 120 << "\" y=\"" << 40 + 16 * k
            << "\" fill=\"" << colours[k % colours.size()] << "\">" << c.name << "</text>\n";
    }
    constexpr std::array<const char*, 4> shares{"0%", "90%", "99%", "99.9%"};
    for (std::size_t i = 0; i < shares.size(); ++i) {
        svg << "<text x=\"" << margin + (width - 2 * margin) * static_cast<double>(i) / 3.0
            << "\" y=\"" << height - margin + 20 << "\">" << shares[i] << "</text>\n";
    }
    for (double ms = 0.1; ms <= max_latency * milliseconds_per_second; ms *= 10) {
        const double y =
            height - margin - (height - 2 * margin) * std::log10(ms / 1e3 / 1e-4) / decades;
        svg << "<text x=\"5\" y=\"" << y << "\">" << ms << "</text>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

}  // namespace burdockdeck::load
