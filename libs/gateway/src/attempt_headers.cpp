// Copies headers between callers and upstreams, and adds those that control an attempt.
#include "attempt_headers.h"

#include <algorithm>

#include "core.h"
#include "exchange.h"
#include "request_state.h"
#include "runtime/clock.h"

namespace burdockdeck::gateway {

namespace {

// Urgency at an engine; the lowest number is served first. Requests are ordered by the route's
// priority and, within one priority, those with a latency objective of 2 s or more come last.
std::uint32_t urgency_of(const deployment::route& r) {
    constexpr duration long_objective = std::chrono::seconds(2);
    const std::uint32_t rank = std::min(r.priority, 3U);
    return 2 + 2 * rank + (r.latency_objective >= long_objective ? 1 : 0);
}

}  // namespace

header_list headers_to_send(const core& c, const request_state& r, const std::string& target,
                            std::optional<std::uint64_t> last_event_id) {
    header_list out;
    const std::string_view connection = find_header(r.request.headers, "Connection");
    for (const auto& [name, value] : r.request.headers) {
        const bool dropped = equals_ignore_case(name, "Content-Length") ||
                             equals_ignore_case(name, "Expect") ||
                             is_hop_header(name, connection) || c.protocol.is_reserved(name);
        if (!dropped) {
            out.emplace_back(name, value);
        }
    }
    attempt_header_values facts;
    facts.time_left = time_left(r, runtime::boot_now());
    facts.target_id = target;
    if (!r.facts.needs.model.empty()) {
        facts.urgency = urgency_of(r.route);
    }
    facts.last_event_id = last_event_id;
    c.protocol.write_attempt_headers(out, facts);
    return out;
}

header_list headers_to_return(const header_list& from) {
    header_list out;
    const std::string_view connection = find_header(from, "Connection");
    for (const auto& [name, value] : from) {
        if (!equals_ignore_case(name, "Content-Length") && !is_hop_header(name, connection)) {
            out.emplace_back(name, value);
        }
    }
    return out;
}

}  // namespace burdockdeck::gateway
