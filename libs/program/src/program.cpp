// Command-line flags of the server programs.
#include "program/program.h"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "path of the YAML settings file");
DEFINE_bool(check, false, "check the settings and exit");

namespace burdockdeck::program {

invocation parse_flags(const std::string& program, int& argc, char**& argv) {
    gflags::SetUsageMessage(program + " --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return {FLAGS_settings, FLAGS_check};
}

}  // namespace burdockdeck::program
