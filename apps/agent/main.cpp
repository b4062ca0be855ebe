// burdockdeck-agent: the process beside one upstream.
#include "agent/server.h"
#include "agent/settings.h"
#include "program/program.h"

int main(int argc, char** argv) {
    using namespace burdockdeck;
    const auto create = [](const agent::agent_settings& s) {
        // A later incarnation has taken over; this one must not act any more.
        return agent::agent_server::create(s, [] { std::_Exit(1); });
    };
    return program::run_server("agent", argc, argv, agent::load_settings, create);
}
