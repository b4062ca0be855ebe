// One streaming call of an agent's `run`, read frame by frame by a coroutine on a traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <variant>

#include "base/time.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"

namespace burdockdeck::entry {

// No frame arrived before the given time.
struct read_timed_out {};

// The call ended and all of its frames have been read.
struct call_ended {
    grpc::Status status;
};

using read_result = std::variant<rpc::frame, read_timed_out, call_ended>;

class run_stream : public grpc::ClientReadReactor<rpc::frame>,
                   public std::enable_shared_from_this<run_stream> {
public:
    explicit run_stream(boost::asio::io_context& io) : io_(io), timer_(io) {}

    // Starts the call. Must be called exactly once.
    void start(rpc::agent::Stub& stub, const runtime::rpc_access& access, rpc::run_request request);
    // Waits for the next frame. Only one reader at a time, on the stream's loop.
    boost::asio::awaitable<read_result> next(time_point until);
    // Cancels the call. Frames still in transit are dropped.
    void cancel();

    void OnReadDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    void wake(std::unique_lock<std::mutex>& lock);

    boost::asio::io_context& io_;
    boost::asio::steady_timer timer_;
    grpc::ClientContext context_;
    rpc::run_request request_;
    std::mutex mutex_;
    std::deque<rpc::frame> frames_;
    rpc::frame incoming_;
    // True while a read is in progress. Between reads the hold taken with AddHold() delays OnDone,
    // so that another read can be started.
    bool reading_ = false;
    // True once no further read may be started; the hold is removed.
    bool closed_ = false;
    bool done_ = false;
    bool waiting_ = false;
    grpc::Status status_;
    std::shared_ptr<run_stream> self_;
};

}  // namespace burdockdeck::entry
