// Loops over io_context, one thread each, and the wait for signals.
#include "runtime/loop.h"

#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>

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
    : turn_(std::make_shared<std::size_t>(0)) {
    for (std::size_t i = 0; i < size; ++i) {
        loops_.push_back(std::make_unique<loop>(thread_name + std::to_string(i)));
    }
}

loop& loop_pool::next() {
    std::atomic_ref<std::size_t> turn(*turn_);
    return *loops_[turn.fetch_add(1, std::memory_order_relaxed) % loops_.size()];
}

std::vector<std::unique_ptr<loop>>& loop_pool::all() {
    return loops_;
}

void loop_pool::stop() {
    for (auto& l : loops_) {
        l->stop();
    }
}

void run_until_signal(std::function<void(std::function<void()> finished)> stop) {
    asio::io_context context(1);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    auto guard = asio::make_work_guard(context);
    const auto finished = [&context] { context.stop(); };
    signals.async_wait([&](const boost::system::error_code&, int number) {
        log_event(severity::info, event::stopping, {{"signal", number}});
        signals.async_wait([](const boost::system::error_code& failed, int) {
            if (!failed) {
                ::_exit(130);
            }
        });
        stop(finished);
    });
    context.run();
    log_event(severity::info, event::stopped, {});
}

}  // namespace burdockdeck::runtime
