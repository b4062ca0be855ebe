// burdockdeck-agent: runs beside one upstream and executes requests on it.
#include "agent/server.h"
#include "agent/settings.h"
#include "program/program.h"

int main(int argc, char** argv) {
    using namespace burdockdeck;
    const auto create = [](const agent::agent_settings& s) {
        // Called when a later incarnation has taken over: exits at once, so that this process takes
        // no further action.
        return agent::agent_server::create(s, [] { std::_Exit(1); });
    };
    return program::run_server("agent", argc, argv, agent::load_settings, create);
}
