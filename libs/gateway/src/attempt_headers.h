// Headers of the requests that are sent to upstreams and of the answers that are returned.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/protocol.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;

// The headers of `r` for its attempt at the upstream `target`. If `last_event_id` is set, the
// upstream continues a stream after that event.
[[nodiscard]] header_list headers_to_send(const core& c, const request_state& r,
                                          const std::string& target,
                                          std::optional<std::uint64_t> last_event_id);
// The headers of an upstream's answer that are passed on to the caller.
[[nodiscard]] header_list headers_to_return(const header_list& from);

}  // namespace burdockdeck::gateway
