// One call of an agent's `run`, read frame by frame by a coroutine of a traffic loop.
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

// Nothing came before the time given.
struct nothing_yet {};

// The call ended without a further frame.
struct call_ended {
    grpc::Status status;
};

using read_result = std::variant<rpc::frame, nothing_yet, call_ended>;

class run_stream : public grpc::ClientReadReactor<rpc::frame>,
                   public std::enable_shared_from_this<run_stream> {
public:
    explicit run_stream(boost::asio::io_context& on) : on_(on), timer_(on) {}

    // Starts the call. Called once.
    void start(rpc::agent::Stub& stub, const runtime::rpc_access& access, rpc::run_request request);
    // The next frame. Only one reader at a time, on the stream's loop.
    boost::asio::awaitable<read_result> next(time_point until);
    // Leaves the call. Frames still under way are dropped.
    void cancel();

    void OnReadDone(bool ok) override;
    void OnDone(const grpc::Status& status) override;

private:
    void wake(std::unique_lock<std::mutex>& lock);

    boost::asio::io_context& on_;
    boost::asio::steady_timer timer_;
    grpc::ClientContext context_;
    rpc::run_request request_;
    std::mutex mutex_;
    std::deque<rpc::frame> frames_;
    rpc::frame incoming_;
    // A read is under way. While none is, a hold keeps the call from ending under our feet.
    bool reading_ = false;
    // No further read may be started; the hold is given back.
    bool closed_ = false;
    bool done_ = false;
    bool waiting_ = false;
    grpc::Status status_;
    std::shared_ptr<run_stream> self_;
};

}  // namespace burdockdeck::entry
