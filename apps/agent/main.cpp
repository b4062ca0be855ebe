// burdockdeck-agent: the process beside one upstream.
#include <gflags/gflags.h>

#include <iostream>

#include "agent/server.h"
#include "agent/settings.h"
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
    gflags::SetUsageMessage("burdockdeck-agent --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings is missing\n";
        return exit_usage;
    }
    const auto loaded = agent::load_settings(FLAGS_settings);
    if (!succeeded(loaded)) {
        std::cerr << settings::to_text(error(loaded)) << "\n";
        return exit_usage;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": in order\n";
        return exit_done;
    }
    const agent::agent_settings& s = value(loaded);
    runtime::open_log("agent", s.log.file, s.log.debug);
    runtime::open_spans("agent", s.log.span_file);
    // A later incarnation has taken over; this one must not act any more.
    auto server = agent::agent_server::create(s, [] { std::_Exit(exit_failed); });
    if (!succeeded(server)) {
        std::cerr << error(server).message << "\n";
        return exit_failed;
    }
    runtime::run_until_signal(
        [&](std::function<void()> finished) { value(server)->stop(std::move(finished)); });
    return exit_done;
}
