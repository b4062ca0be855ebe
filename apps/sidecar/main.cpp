// burdockdeck-sidecar: the only process that sends orders to the engine on its host.
#include "platform/engine_calls.h"
#include "program/program.h"
#include "sidecar/server.h"
#include "sidecar/settings.h"

int main(int argc, char** argv) {
    using namespace burdockdeck;
    const auto create = [](const sidecar::sidecar_settings& s) {
        return sidecar::sidecar_server::create(s, platform::engine_protocol());
    };
    return program::run_server("sidecar", argc, argv, sidecar::load_settings, create);
}
