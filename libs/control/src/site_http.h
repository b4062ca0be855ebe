// Handles calls of operators and upstreams over HTTP.
#pragma once

#include "instance.h"
#include "runtime/http.h"

namespace burdockdeck::control {

[[nodiscard]] runtime::http_limits site_http_limits();
boost::asio::awaitable<void> answer_site_call(instance& i, runtime::http_exchange& exchange);

}  // namespace burdockdeck::control
