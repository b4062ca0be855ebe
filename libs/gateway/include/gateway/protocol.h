// Interface to the platform's header conventions towards callers and upstreams. A protocol only
// encodes and decodes; it makes no decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "deployment/deployment.h"
#include "dispatch/upstream.h"

namespace burdockdeck::gateway {

using header_list = std::vector<std::pair<std::string, std::string>>;

// The value of the first header of that name, compared without case; empty if there is none.
[[nodiscard]] std::string_view find_header(const header_list& headers, std::string_view name);
[[nodiscard]] bool equals_ignore_case(std::string_view a, std::string_view b);

// Values from the headers of a caller's request.
struct request_facts {
    // Id that the caller gave to this attempt.
    std::string id;
    // How long the caller waits; empty if not stated.
    std::optional<duration> deadline;
    dispatch::work needs;
    // The last event that the caller received, if it resumes a stream; empty otherwise.
    std::optional<std::uint64_t> last_event_id;
    // If it resumes a stream: the id of the attempt that brought the first event; empty if it does
    // not say so.
    std::string resumes;
};

// Values from the status and headers of an upstream's answer.
struct answer_facts {
    std::string echoed_id;
    // True if the answer carries proof that an upstream made it.
    bool signed_by_upstream = false;
    // The upstream states that it has not executed the request and will not.
    bool not_run = false;
    // The body has a content encoding that was not requested.
    bool encoded = false;
    // How long the upstream keeps an idle connection open; empty if not stated.
    std::optional<duration> keep_alive;
    // The upstream is leaving; it is to get no further requests.
    bool leaving = false;
    // The upstream refused the request and is to get no other one for this long; empty if not
    // stated.
    std::optional<duration> pause;
    // Requests a second that the upstream takes from all gateways together; empty if not stated.
    std::optional<double> requests_per_second;
    // Name and value of a header that was ignored or clamped because of its value; empty if all
    // were valid.
    std::string invalid_header;
};

// Values that a gateway writes into the headers of one attempt.
struct attempt_header_values {
    duration time_left{};
    std::string target_id;
    // 0 is served first, 9 last; empty for a plain service.
    std::optional<std::uint32_t> urgency;
    // The event after which the stream is resumed; empty if it starts from the beginning.
    std::optional<std::uint64_t> last_event_id;
};

struct decode_error {
    std::string message;
};

struct caller_protocol {
    std::function<result<deployment::site, decode_error>(std::string_view)> decode_deployment;
    std::function<request_facts(const header_list&)> read_request;
    // True for headers that only the gateway sets; those sent by callers are not forwarded.
    std::function<bool(std::string_view name)> is_reserved;
    std::function<void(header_list&, const attempt_header_values&)> write_attempt_headers;
    std::function<answer_facts(unsigned status, const header_list&)> read_answer;
    // Adds the headers that tell the caller to retry after the given time.
    std::function<void(header_list&, duration)> write_retry_after;
    // True for the platform's readiness check.
    std::function<bool(std::string_view method, std::string_view target)> is_readiness_check;
};

}  // namespace burdockdeck::gateway
