// The seam towards callers and upstreams: which headers carry what. A protocol decodes and encodes;
// it decides nothing.
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

// The first header of that name, in any case; empty if there is none.
[[nodiscard]] std::string_view header_in(const header_list& headers, std::string_view name);
[[nodiscard]] bool same_name(std::string_view a, std::string_view b);

// What a caller's headers say.
struct request_facts {
    // The caller's id of this attempt.
    std::string id;
    // How long the caller waits; empty if it does not say.
    std::optional<duration> deadline;
    dispatch::work needs;
    // The last event that the caller has, when it resumes a stream.
    std::optional<std::uint64_t> last_event;
};

// What an upstream's answer says of itself.
struct answer_facts {
    std::string echoed_id;
    // Proof that an upstream made the answer.
    bool signed_by_upstream = false;
    // The upstream states that the request has not run and will not run there.
    bool not_run = false;
    // Its body is encoded in a way nobody asked for.
    bool encoded = false;
    // How long the upstream keeps an idle connection.
    std::optional<duration> keep_alive;
};

// What a gateway adds to one send.
struct send_facts {
    duration time_left{};
    std::string target_id;
    // 0 is served first, 9 last; empty for a plain service.
    std::optional<std::uint32_t> urgency;
    // Set when the stream is resumed after this event.
    std::optional<std::uint64_t> last_event;
};

struct decode_error {
    std::string message;
};

struct caller_protocol {
    std::function<result<deployment::site, decode_error>(std::string_view)> decode_deployment;
    std::function<request_facts(const header_list&)> read_request;
    // True for headers that only the gateway sets: callers' own are not passed on.
    std::function<bool(std::string_view name)> is_reserved;
    std::function<void(header_list&, const send_facts&)> write_send;
    std::function<answer_facts(unsigned status, const header_list&)> read_answer;
    // Headers of a refusal that says when to come back.
    std::function<void(header_list&, duration)> write_retry_after;
    // True for the platform's question whether this gateway takes new connections.
    std::function<bool(std::string_view method, std::string_view target)> asks_readiness;
};

}  // namespace burdockdeck::gateway
