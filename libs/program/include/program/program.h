// The common frame of the server programs: flags, settings, logs, the wait for signals.
#pragma once

#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "base/result.h"
#include "runtime/log.h"
#include "runtime/loop.h"
#include "runtime/trace.h"
#include "settings/common.h"

namespace burdockdeck::program {

enum class exit_status : int { done = 0, failed = 1, usage = 2 };

// What the command line asks for.
struct invocation {
    std::string settings_file;
    bool check_only = false;
};

// Parses the flags --settings and --check. `program` is named in the usage text.
[[nodiscard]] invocation parse_flags(const std::string& program, int& argc, char**& argv);

// Runs one server program to its end: reads the settings, creates the server, waits for a signal,
// stops it gracefully. `load(path)` gives a result of settings, `create(settings)` one of a server.
template <class Load, class Create>
int run_server(const std::string& name, int argc, char** argv, Load load, Create create) {
    const auto status = [](exit_status s) { return static_cast<int>(s); };
    const invocation asked = parse_flags("burdockdeck-" + name, argc, argv);
    if (asked.settings_file.empty()) {
        std::cerr << "--settings is missing\n";
        return status(exit_status::usage);
    }
    const auto loaded = load(asked.settings_file);
    if (!succeeded(loaded)) {
        std::cerr << settings::to_text(error(loaded)) << "\n";
        return status(exit_status::usage);
    }
    if (asked.check_only) {
        std::cout << asked.settings_file << ": in order\n";
        return status(exit_status::done);
    }
    const auto& s = value(loaded);
    const runtime::log_options log{s.log.file, s.log.debug, s.log.bytes_per_second};
    if (const auto failed = runtime::open_log(name, log)) {
        std::cerr << *failed << "\n";
        return status(exit_status::failed);
    }
    runtime::open_spans(name, s.log.span_file);
    auto server = create(s);
    if (!succeeded(server)) {
        std::cerr << error(server).message << "\n";
        return status(exit_status::failed);
    }
    runtime::signal_actions actions;
    actions.stop = [&](std::function<void()> finished) {
        value(server)->stop(std::move(finished));
    };
    actions.watched_file = asked.settings_file;
    actions.reload = [&] {
        const auto again = load(asked.settings_file);
        if (!succeeded(again)) {
            // The settings in force stay.
            runtime::log_event(runtime::severity::error, runtime::event::settings_refused,
                               {{"reason", settings::to_text(error(again))}});
            return;
        }
        runtime::log_event(runtime::severity::info, runtime::event::settings_reloaded,
                           {{"file", asked.settings_file}});
        if constexpr (requires { value(server)->reload(value(again)); }) {
            value(server)->reload(value(again));
        }
    };
    runtime::run_until_signal(actions);
    std::cout.flush();
    // Calls in flight may still end on threads of gRPC and reach for loops that are being torn
    // down: the process goes without tearing anything down. Files are synced when they are written.
    std::_Exit(status(exit_status::done));
}

}  // namespace burdockdeck::program
