// Passes frames from gRPC callback threads to a coroutine.
#include "run_stream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdockdeck::entry {

namespace {

// Frames buffered ahead of the reader; at this limit, flow control slows the agent down.
constexpr std::size_t max_frames_ahead = 64;

}  // namespace

void run_stream::start(rpc::agent::Stub& stub, const runtime::rpc_access& access,
                       rpc::run_request request) {
    self_ = shared_from_this();
    request_ = std::move(request);
    access.add_credentials(context_);
    stub.async()->run(&context_, &request_, this);
    AddHold();
    reading_ = true;
    StartRead(&incoming_);
    StartCall();
}

boost::asio::awaitable<read_result> run_stream::next(time_point until) {
    const auto self = shared_from_this();
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            if (!frames_.empty()) {
                rpc::frame f = std::move(frames_.front());
                frames_.pop_front();
                if (!reading_ && !closed_) {
                    reading_ = true;
                    StartRead(&incoming_);
                }
                co_return f;
            }
            if (done_) {
                call_ended ended;
                ended.status = status_;
                co_return ended;
            }
            if (std::chrono::steady_clock::now() >= until) {
                const read_timed_out nothing;
                co_return nothing;
            }
            waiting_ = true;
        }
        timer_.expires_at(until);
        (void)co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

void run_stream::cancel() {
    context_.TryCancel();
    {
        const std::lock_guard lock(mutex_);
        if (reading_ || closed_) {
            return;
        }
        closed_ = true;
    }
    RemoveHold();
}

// Wakes the reader by cancelling its timer. Both run on the same loop, so the posted handler cannot
// run before the reader waits on the timer.
void run_stream::wake(std::unique_lock<std::mutex>& lock) {
    if (!waiting_) {
        return;
    }
    waiting_ = false;
    lock.unlock();
    boost::asio::post(io_, [self = shared_from_this()] { self->timer_.cancel(); });
}

void run_stream::OnReadDone(bool ok) {
    std::unique_lock lock(mutex_);
    reading_ = false;
    if (!ok) {
        closed_ = true;
        lock.unlock();
        RemoveHold();
        return;
    }
    frames_.push_back(std::move(incoming_));
    incoming_.Clear();
    if (frames_.size() < max_frames_ahead) {
        reading_ = true;
        StartRead(&incoming_);
    }
    wake(lock);
}

void run_stream::OnDone(const grpc::Status& status) {
    {
        std::unique_lock lock(mutex_);
        done_ = true;
        status_ = status;
        wake(lock);
    }
    self_.reset();
}

}  // namespace burdockdeck::entry
