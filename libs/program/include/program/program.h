// Shared main function of the server programs: parses flags, loads settings, opens the log and the
// span file, runs the server and handles signals.
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

// Parsed command-line flags.
struct invocation {
    std::string settings_file;
    bool check_only = false;
};

// Parses the flags --settings and --check. The usage text names `program`.
[[nodiscard]] invocation parse_flags(const std::string& program, int& argc, char**& argv);

// Runs one server program until it exits: loads the settings, creates the server, waits for a stop
// signal and stops the server gracefully. `load(path)` returns a result with settings,
// `create(settings)` a result with a server.
template <class Load, class Create>
int run_server(const std::string& name, int argc, char** argv, Load load, Create create) {
    const auto status = [](exit_status s) { return static_cast<int>(s); };
    const invocation flags = parse_flags("burdockdeck-" + name, argc, argv);
    if (flags.settings_file.empty()) {
        std::cerr << "the flag --settings is required\n";
        return status(exit_status::usage);
    }
    const auto loaded = load(flags.settings_file);
    if (!succeeded(loaded)) {
        std::cerr << settings::to_text(error(loaded)) << "\n";
        return status(exit_status::usage);
    }
    if (flags.check_only) {
        std::cout << flags.settings_file << ": settings are valid\n";
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
    actions.watched_file = flags.settings_file;
    actions.reload = [&] {
        const auto reloaded = load(flags.settings_file);
        if (!succeeded(reloaded)) {
            // The current settings remain in force.
            runtime::log_event(runtime::severity::error, runtime::event::settings_refused,
                               {{"reason", settings::to_text(error(reloaded))}});
            return;
        }
        runtime::log_event(runtime::severity::info, runtime::event::settings_reloaded,
                           {{"file", flags.settings_file}});
        if constexpr (requires { value(server)->reload(value(reloaded)); }) {
            value(server)->reload(value(reloaded));
        }
    };
    runtime::run_until_signal(actions);
    std::cout.flush();
    // Calls in flight may still complete on gRPC threads and use loops that are being destroyed, so
    // the process exits without running destructors. Files are synced when they are written.
    std::_Exit(status(exit_status::done));
}

}  // namespace burdockdeck::program
