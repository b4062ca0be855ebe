// burdockdeck-load: runs one experiment and writes its report.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "load/experiment.h"

DEFINE_string(json, "", "file to write the report to, as JSON");
DEFINE_string(svg, "", "file to write the latency plot to, as SVG");
DEFINE_string(targets, "", "IP:PORT of the target, instead of the experiment's targets");
DEFINE_bool(direct, false, "the targets are upstreams, not entries");

namespace {

enum exit_code { exit_done = 0, exit_usage = 2 };

}  // namespace

int main(int argc, char** argv) {
    using namespace burdockdeck;
    gflags::SetUsageMessage("burdockdeck-load EXPERIMENT.yaml [--json FILE] [--svg FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::cerr << gflags::ProgramUsage() << "\n";
        return exit_usage;
    }
    auto loaded = load::load_experiment(argv[1]);
    if (!succeeded(loaded)) {
        std::cerr << settings::to_text(error(loaded)) << "\n";
        return exit_usage;
    }
    load::experiment& e = value(loaded);
    if (!FLAGS_targets.empty()) {
        const auto target = settings::parse_endpoint(FLAGS_targets);
        if (!target) {
            std::cerr << "--targets must be an IP address and a port\n";
            return exit_usage;
        }
        e.targets = {*target};
    }
    e.direct = e.direct || FLAGS_direct;
    const load::report r = load::run(e);
    load::print_text(r, std::cout);
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << load::to_json(r) << "\n";
    }
    if (!FLAGS_svg.empty()) {
        std::ofstream(FLAGS_svg) << load::to_svg(r);
    }
    return exit_done;
}
