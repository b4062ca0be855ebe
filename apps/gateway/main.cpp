// burdockdeck-gateway: forwards callers' requests directly to upstreams.
#include "gateway/server.h"
#include "gateway/settings.h"
#include "platform/caller_headers.h"
#include "program/program.h"

int main(int argc, char** argv) {
    using namespace burdockdeck;
    const auto create = [](const gateway::gateway_settings& s) {
        return gateway::gateway_server::create(s, platform::caller_protocol());
    };
    return program::run_server("gateway", argc, argv, gateway::load_settings, create);
}
