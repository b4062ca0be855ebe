// Finds the ends of events (an empty line, with LF or CRLF) and their id fields.
#include "event_splitter.h"

#include <charconv>

namespace burdockdeck::gateway {

namespace {

constexpr std::string_view id_field = "id:";
// Length of the longest end of an event, "\\r\\n\\r\\n".
constexpr std::size_t max_event_end = 4;
// Memory beyond twice the pending bytes that is kept for the next events.
constexpr std::size_t max_spare_bytes = 16 * 1024;

std::optional<std::uint64_t> id_of(std::string_view event) {
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? "" : event.substr(end + 1);
        if (line.substr(0, id_field.size()) != id_field) {
            continue;
        }
        line.remove_prefix(id_field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

bool has_data(std::string_view event) {
    constexpr std::string_view data_field = "data";
    return event.starts_with(data_field) || event.find("\ndata") != std::string_view::npos;
}

// Length of the first complete event including its empty line; 0 if none is complete. No event ends
// in the first `scanned` bytes.
std::size_t first_event_length(std::string_view text, std::size_t scanned) {
    // The end may have begun in the bytes scanned before.
    std::size_t at = scanned < max_event_end ? 0 : scanned - max_event_end;
    while ((at = text.find('\n', at)) != std::string_view::npos) {
        ++at;
        const std::string_view rest = text.substr(at);
        if (rest.starts_with('\n')) {
            return at + 1;
        }
        const bool after_crlf = at >= 2 && text[at - 2] == '\r';
        if (after_crlf && rest.starts_with("\r\n")) {
            return at + 2;
        }
    }
    return 0;
}

}  // namespace

std::string extract_events(event_splitter& s, std::string_view bytes) {
    s.pending += bytes;
    std::size_t complete_bytes = 0;
    while (true) {
        const std::string_view rest = std::string_view(s.pending).substr(complete_bytes);
        const std::size_t length = first_event_length(rest, s.scanned);
        s.scanned = 0;
        if (length == 0) {
            s.scanned = rest.size();
            break;
        }
        if (const auto id = id_of(rest.substr(0, length))) {
            s.ids_increase = s.ids_increase && (!s.last_id || *id > *s.last_id);
            s.last_id = id;
            s.events_without_id = 0;
            s.bytes_without_data = 0;
        } else if (has_data(rest.substr(0, length))) {
            ++s.events_without_id;
            s.bytes_without_data = 0;
        } else {
            s.bytes_without_data += length;
        }
        ++s.events;
        complete_bytes += length;
    }
    std::string events = s.pending.substr(0, complete_bytes);
    s.pending.erase(0, complete_bytes);
    if (s.pending.capacity() > max_spare_bytes + 2 * s.pending.size()) {
        s.pending.shrink_to_fit();
    }
    return events;
}

}  // namespace burdockdeck::gateway
