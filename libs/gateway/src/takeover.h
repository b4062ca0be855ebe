// Sends the request of a silent attempt to a successor and hands the request over to it. Runs on
// the traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "dispatch/choice.h"
#include "exchange.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;

// The second upstream that a request is sent to while the first is silent.
// Invariants: `sent_on` is set once, when the request is sent; `status` is set once, when its
// answer has begun or failed.
struct successor {
    successor(boost::asio::io_context& context, const dispatch::choice& to)
        : chosen(to),
          target(dispatch::incarnation_of(*to.to)),
          finished(context, std::chrono::steady_clock::time_point::max()) {}

    dispatch::choice chosen;
    dispatch::incarnation target;
    std::shared_ptr<exchange> sent_on;
    time_point sent_at{};
    std::optional<send_status> status;
    // True once the silent upstream has been left for this one.
    bool in_charge = false;
    // Cancelled when `status` is set.
    boost::asio::steady_timer finished;
};

// Prepares a successor for each request whose upstream has been silent for too long and that may be
// sent again.
void replace_silent_attempts(core& c, time_point now);
// Closes the connection to the successor, unless it is in charge.
void withdraw_successor(request_state& r);
// Closes the connection to the successor in any case.
void close_successor(request_state& r);
// Removes and returns the successor that the request was sent to; null if there is none.
[[nodiscard]] std::shared_ptr<successor> take_successor(request_state& r);
// Waits until the answer of the successor has begun or failed.
boost::asio::awaitable<send_status> await_answer(std::shared_ptr<successor> s);

}  // namespace burdockdeck::gateway
