// burdockdeck-control: one instance of the control group.
#include <gflags/gflags.h>

#include <iostream>

#include "control/server.h"
#include "control/settings.h"
#include "runtime/log.h"
#include "runtime/loop.h"
#include "runtime/trace.h"

DEFINE_string(settings, "", "path of the YAML settings file");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

enum exit_code { exit_done = 0, exit_failed = 1, exit_usage = 2 };

}  // namespace

int main(int argc, char** argv) {
    using namespace burdockdeck;
    gflags::SetUsageMessage("burdockdeck-control --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings is missing\n";
        return exit_usage;
    }
    const auto loaded = control::load_settings(FLAGS_settings);
    if (!succeeded(loaded)) {
        std::cerr << settings::to_text(error(loaded)) << "\n";
        return exit_usage;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": in order\n";
        return exit_done;
    }
    const control::control_settings& s = value(loaded);
    runtime::open_log("control", s.log.file, s.log.debug);
    runtime::open_spans("control", s.log.span_file);
    // A process whose disk has failed must not answer again.
    auto server = control::control_server::create(s, [] { std::_Exit(exit_failed); });
    if (!succeeded(server)) {
        std::cerr << error(server).message << "\n";
        return exit_failed;
    }
    runtime::run_until_signal(
        [&](std::function<void()> finished) { value(server)->stop(std::move(finished)); });
    return exit_done;
}
