// burdockdeck-standin: a stand-in upstream for tests, either an engine or a plain service.
#include <gflags/gflags.h>

#include <boost/json.hpp>
#include <iostream>

#include "engine.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/loop.h"
#include "service.h"

DEFINE_string(kind, "engine", "engine or service");
DEFINE_string(service, "", "name of the service");
DEFINE_string(listen, "", "IP:PORT to listen on");
DEFINE_string(agent, "", "IP:PORT of the agent to announce to; empty: no announcements");
DEFINE_uint32(memory_mb, 1000, "engine: accelerator memory in MB");
DEFINE_uint32(slots, 8, "maximum number of concurrent requests, as announced");
DEFINE_bool(refuses_old_fences, true, "engine: refuse orders with an outdated fencing number");
DEFINE_string(record_file, "", "service: file that a line for each run is appended to");
DEFINE_int32(threads, 1, "number of traffic threads");

namespace {

using namespace burdockdeck;

std::string announcement() {
    return boost::json::serialize(
        boost::json::object{{"kind", FLAGS_kind},
                            {"service", FLAGS_service},
                            {"address", FLAGS_listen},
                            {"memory_mb", FLAGS_memory_mb},
                            {"slots", FLAGS_slots},
                            {"refuses_old_fences", FLAGS_refuses_old_fences}});
}

// Announces the upstream every 250 ms, because its agent may restart without the earlier
// announcement.
boost::asio::awaitable<void> announce(runtime::loop& event_loop, settings::endpoint agent) {
    runtime::http_client client(event_loop, std::move(agent));
    while (true) {
        runtime::http_request r;
        r.method = "POST";
        r.target = "/announce";
        r.headers = {{"Content-Type", "application/json"}};
        r.body = announcement();
        runtime::http_call_options options;
        options.timeout = std::chrono::seconds(2);
        options.fresh_connection = true;
        (void)co_await client.fetch(std::move(r), options);
        co_await runtime::sleep_for(std::chrono::milliseconds(250));
    }
}

}  // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto listen_endpoint = settings::parse_endpoint(FLAGS_listen);
    if (!listen_endpoint) {
        std::cerr << "--listen must be an IP address and a port\n";
        return 2;
    }
    if (const auto failed = runtime::open_log("standin", {})) {
        std::cerr << *failed << "\n";
        return 1;
    }
    runtime::loop_pool loops("traffic", static_cast<std::size_t>(FLAGS_threads));
    standins::engine_options options;
    options.memory_mb = FLAGS_memory_mb;
    options.slots = FLAGS_slots;
    options.refuses_old_fences = FLAGS_refuses_old_fences;
    standins::engine engine(options);
    standins::service service(FLAGS_service, FLAGS_record_file);
    const bool is_engine = FLAGS_kind == "engine";
    auto server =
        runtime::http_server::listen(*listen_endpoint, loops, {}, [&](runtime::http_exchange& e) {
            return is_engine ? engine.answer(e) : service.answer(e);
        });
    if (!succeeded(server)) {
        std::cerr << error(server).message << "\n";
        return 1;
    }
    if (const auto agent = settings::parse_endpoint(FLAGS_agent)) {
        runtime::loop& event_loop = *loops.all().front();
        runtime::spawn(event_loop, [&event_loop, agent] { return announce(event_loop, *agent); });
    }
    runtime::signal_actions actions;
    actions.stop = [](std::function<void()> finished) { finished(); };
    runtime::run_until_signal(actions);
    loops.stop();
    return 0;
}
