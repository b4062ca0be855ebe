// Event loops of a program: one loop for control state and a pool of loops for traffic. Exactly one
// thread runs each loop, so data that only one loop uses needs no lock.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace burdockdeck::runtime {

class loop {
public:
    explicit loop(const std::string& thread_name);
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    [[nodiscard]] boost::asio::io_context& context();
    // Runs `work` on the loop's thread. Safe from any thread.
    void post(std::function<void()> work);
    // Stops the loop and joins its thread. Must not be called on the loop's own thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

class loop_pool {
public:
    // `size` must be at least 1.
    loop_pool(const std::string& thread_name, std::size_t size);
    // Returns the loops round-robin. Safe from any thread.
    [[nodiscard]] loop& next();
    [[nodiscard]] std::vector<std::unique_ptr<loop>>& all();
    void stop();

private:
    std::vector<std::unique_ptr<loop>> loops_;
    std::shared_ptr<std::size_t> next_index_;
};

// Callbacks for signals and for changes of the settings file.
struct signal_actions {
    // Called on the first SIGTERM or SIGINT; later ones are ignored. Must call `finished` when the
    // stop is complete.
    std::function<void(std::function<void()> finished)> stop;
    // Called on SIGHUP and periodically, in both cases only if the content of `watched_file` has
    // changed. May be empty.
    std::function<void()> reload;
    std::string watched_file;
};

// Blocks until a stop signal has arrived and the stop is complete.
void run_until_signal(const signal_actions& actions);

}  // namespace burdockdeck::runtime
