// Before an engine is chosen, the gateway asks the sidecars of the engines that could take the
// request for their load. The cost grows with the requests of this gateway, not with the number of
// gateways times engines as regular reports to all gateways would, and the answers are fresh. Runs
// on the traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/choice.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;

// A request that waits for answers.
struct load_question {
    load_question(boost::asio::io_context& context, duration longest_wait)
        : timer(context, longest_wait) {}

    boost::asio::steady_timer timer;
    // Ids of the upstreams that have not answered.
    std::set<std::string> unanswered;
};

// Ids of the engines whose load is to be asked for before one is chosen: those that could take the
// request and whose load is not known well enough, at most `max_engines_asked`.
[[nodiscard]] std::vector<std::string> engines_to_ask(const std::vector<dispatch::upstream*>& all,
                                                      const dispatch::request_view& v,
                                                      time_point now);

// Asks the engines that could take `r` for their load, and waits for the answers for a few
// milliseconds.
boost::asio::awaitable<void> ask_for_loads(core& c, const request_state& r);

// Ends the waits that `upstream` was the last one to answer.
void record_load_answer(core& c, const std::string& upstream);

}  // namespace burdockdeck::gateway
