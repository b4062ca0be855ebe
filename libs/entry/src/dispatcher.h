// Handles a request from arrival to response: selects upstreams, retries idempotent requests and
// attempts that provably did not run, claims idempotency keys, and reports the outcome to the
// caller.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "runtime/http.h"
#include "work.h"
#include "worker_state.h"

namespace burdockdeck::entry {

// Parses and dispatches one completion or service request and writes the response.
boost::asio::awaitable<void> serve_request(worker_state& worker, runtime::http_exchange& exchange);

// Responds with a JSON error that carries the outcome and the request id.
boost::asio::awaitable<void> answer_error(runtime::http_exchange& exchange, unsigned status,
                                          std::string message, std::string outcome_name,
                                          std::string request_id, duration retry_after);

}  // namespace burdockdeck::entry
