// Handles calls of operators and upstreams over HTTP.
#pragma once

#include "control/site_protocol.h"
#include "instance.h"
#include "runtime/http.h"

namespace burdockdeck::control {

[[nodiscard]] runtime::http_limits site_http_limits();
boost::asio::awaitable<void> answer_site_call(instance& i, runtime::http_exchange& exchange);
// Answers at an instance without a data folder: redirects the call to a member.
boost::asio::awaitable<void> redirect_site_call(instance& i, const site_protocol& protocol,
                                                runtime::http_exchange& exchange);

}  // namespace burdockdeck::control
