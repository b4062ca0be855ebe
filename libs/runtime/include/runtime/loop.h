// Threads of a program: one loop for control state, and a pool of loops for traffic. Each loop is
// run by exactly one thread, so that what belongs to a loop needs no lock.
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
    // Ends the loop and joins its thread. Not from the loop's own thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

class loop_pool {
public:
    // Valid: size >= 1.
    loop_pool(const std::string& thread_name, std::size_t size);
    // The loops in turn. Safe from any thread.
    [[nodiscard]] loop& next();
    [[nodiscard]] std::vector<std::unique_ptr<loop>>& all();
    void stop();

private:
    std::vector<std::unique_ptr<loop>> loops_;
    std::shared_ptr<std::size_t> turn_;
};

// What a program does on signals.
struct signal_actions {
    // On the first SIGTERM or SIGINT; later ones change nothing. Calls `finished` when it is done.
    std::function<void(std::function<void()> finished)> stop;
    // On SIGHUP, and when the file at `watched_file` changed without a signal. May be empty.
    std::function<void()> reload;
    std::string watched_file;
};

// Blocks until a signal to stop was carried out.
void run_until_signal(const signal_actions& actions);

}  // namespace burdockdeck::runtime
