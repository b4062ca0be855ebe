// burdockdeck-entry: accepts callers' requests and dispatches them to agents.
#include "entry/server.h"
#include "entry/settings.h"
#include "program/program.h"

int main(int argc, char** argv) {
    using namespace burdockdeck;
    return program::run_server("entry", argc, argv, entry::load_settings,
                               entry::entry_server::create);
}
