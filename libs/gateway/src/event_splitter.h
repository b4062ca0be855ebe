// Splits a byte stream into complete server-sent events and reads their ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockdeck::gateway {

// State of one stream; `pending` holds the bytes of the event that is not complete yet.
struct event_splitter {
    std::string pending;
    // Id of the last complete event that had one.
    std::optional<std::uint64_t> last_id;
    // False once an event's id was not higher than the one before.
    bool ids_increase = true;
    std::uint64_t events = 0;
    // Number of events with data since the last one that had an id: a stream cannot be resumed
    // after them.
    std::uint64_t events_without_id = 0;
    // Bytes of complete events since the last one with data or an id.
    std::size_t bytes_without_data = 0;
    // Bytes at the start of `pending` in which no event ends.
    std::size_t scanned = 0;
};

// Adds `bytes` and returns the events that are now complete, byte for byte as received.
[[nodiscard]] std::string extract_events(event_splitter& s, std::string_view bytes);

}  // namespace burdockdeck::gateway
