// burdockdeck-control: one instance of the control group.
#include "control/server.h"
#include "control/settings.h"
#include "platform/control_calls.h"
#include "program/program.h"

int main(int argc, char** argv) {
    using namespace burdockdeck;
    const auto create = [](const control::control_settings& s) {
        // Called when the disk has failed: exits at once, so that the process sends no further
        // answers.
        return control::control_server::create(
            s, [] { std::_Exit(1); }, platform::control_protocol());
    };
    return program::run_server("control", argc, argv, control::load_settings, create);
}
