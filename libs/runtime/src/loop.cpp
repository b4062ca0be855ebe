// Event loops on io_context with one thread each, and signal handling.
#include "runtime/loop.h"

#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

#include "base/checksum.h"
#include "base/time.h"
#include "runtime/log.h"

namespace burdockdeck::runtime {

namespace asio = boost::asio;

struct loop::state {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    std::thread thread;
};

loop::loop(const std::string& thread_name) : state_(std::make_unique<state>()) {
    state_->thread = std::thread([s = state_.get(), thread_name] {
        ::pthread_setname_np(::pthread_self(), thread_name.substr(0, 15).c_str());
        s->context.run();
    });
}

loop::~loop() {
    stop();
}

asio::io_context& loop::context() {
    return state_->context;
}

void loop::post(std::function<void()> work) {
    asio::post(state_->context, std::move(work));
}

void loop::stop() {
    state_->context.stop();
    if (state_->thread.joinable()) {
        state_->thread.join();
    }
}

loop_pool::loop_pool(const std::string& thread_name, std::size_t size)
    : next_index_(std::make_shared<std::size_t>(0)) {
    for (std::size_t i = 0; i < size; ++i) {
        loops_.push_back(std::make_unique<loop>(thread_name + std::to_string(i)));
    }
}

loop& loop_pool::next() {
    std::atomic_ref<std::size_t> index(*next_index_);
    return *loops_[index.fetch_add(1, std::memory_order_relaxed) % loops_.size()];
}

std::vector<std::unique_ptr<loop>>& loop_pool::all() {
    return loops_;
}

void loop_pool::stop() {
    for (auto& l : loops_) {
        l->stop();
    }
}

namespace {

constexpr duration file_check_interval = std::chrono::milliseconds(500);

// Checksum of a file's content; 0 if it cannot be read.
std::uint64_t content_checksum(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    return in ? checksum_of(text) : 0;
}

// Calls `reload` when the file's content has changed: once per change, whether a signal or the
// periodic check detects it.
class settings_watcher {
public:
    settings_watcher(asio::io_context& context, const signal_actions& actions)
        : actions_(actions),
          timer_(context),
          last_checksum_(content_checksum(actions.watched_file)) {}

    void check() {
        const std::uint64_t checksum = content_checksum(actions_.watched_file);
        if (checksum == last_checksum_ || checksum == 0 || !actions_.reload) {
            return;
        }
        last_checksum_ = checksum;
        actions_.reload();
    }

    void watch() {
        timer_.expires_after(file_check_interval);
        timer_.async_wait([this](const boost::system::error_code& failed) {
            if (!failed) {
                check();
                watch();
            }
        });
    }

private:
    const signal_actions& actions_;
    asio::steady_timer timer_;
    std::uint64_t last_checksum_;
};

}  // namespace

void run_until_signal(const signal_actions& actions) {
    asio::io_context context(1);
    asio::signal_set stops(context, SIGTERM, SIGINT);
    asio::signal_set reloads(context, SIGHUP);
    auto guard = asio::make_work_guard(context);
    settings_watcher settings(context, actions);
    bool stopping = false;
    const auto finished = [&context] { context.stop(); };
    std::function<void()> await_stop = [&] {
        stops.async_wait([&](const boost::system::error_code& failed, int number) {
            if (failed) {
                return;
            }
            await_stop();
            // Stop signals are often sent more than once; later ones are ignored.
            if (!stopping) {
                stopping = true;
                log_event(severity::info, event::stopping, {{"signal", number}});
                actions.stop(finished);
            }
        });
    };
    std::function<void()> await_reload = [&] {
        reloads.async_wait([&](const boost::system::error_code& failed, int) {
            if (!failed) {
                await_reload();
                settings.check();
            }
        });
    };
    await_stop();
    await_reload();
    if (!actions.watched_file.empty()) {
        settings.watch();
    }
    context.run();
    log_event(severity::info, event::stopped, {});
}

}  // namespace burdockdeck::runtime
