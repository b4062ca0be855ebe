// Cuts a stream of server-sent events into whole events, and reads their ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockdeck::gateway {

// Bytes that arrived and do not make up a whole event yet.
struct event_splitter {
    std::string pending;
    // Id of the last whole event that carried one.
    std::optional<std::uint64_t> last_id;
    std::uint64_t events = 0;
};

// Adds `bytes` and returns the whole events that are complete now, to the byte.
[[nodiscard]] std::string extract_events(event_splitter& s, std::string_view bytes);

}  // namespace burdockdeck::gateway
