// A request from its arrival to its answer: choice of upstreams, retries of what provably did not
// run, claims for keyed work, and the outcome told to the caller.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "lane.h"
#include "runtime/http.h"
#include "work.h"

namespace burdockdeck::entry {

// Answers one request for work.
boost::asio::awaitable<void> answer_work(lane& on, runtime::http_exchange& exchange);

// Answers with an error in the usual shape.
boost::asio::awaitable<void> answer_error(runtime::http_exchange& exchange, unsigned status,
                                          std::string message, std::string outcome_name,
                                          std::string request_id, duration retry_after);

}  // namespace burdockdeck::entry
