// Encoding, decoding and search of log records.
#include "record.h"

#include <cstring>

#include "base/checksum.h"

namespace burdockdeck::storage {

namespace {

constexpr std::uint64_t record_magic = 0x62646b6c6f673031ULL;

struct header {
    std::uint64_t magic = record_magic;
    std::uint32_t length = 0;
    std::uint32_t padding = 0;
    std::uint64_t sequence = 0;
    std::uint64_t payload_checksum = 0;
    std::uint64_t header_checksum = 0;
};

constexpr std::size_t checked_header_bytes = sizeof(header) - sizeof(std::uint64_t);

std::uint64_t checksum_of_header(const header& h) {
    return checksum_of({reinterpret_cast<const char*>(&h), checked_header_bytes});
}

std::uint64_t padded(std::uint64_t bytes) {
    return (bytes + record_alignment - 1) / record_alignment * record_alignment;
}

}  // namespace

std::string frame_record(std::uint64_t sequence, std::string_view payload) {
    header h;
    h.length = static_cast<std::uint32_t>(payload.size());
    h.sequence = sequence;
    h.payload_checksum = checksum_of(payload);
    h.header_checksum = checksum_of_header(h);
    std::string bytes(reinterpret_cast<const char*>(&h), sizeof h);
    bytes += payload;
    bytes.resize(padded(bytes.size()));
    return bytes;
}

std::optional<record> record_at(std::string_view file, std::uint64_t offset) {
    if (offset + sizeof(header) > file.size()) {
        return std::nullopt;
    }
    header h;
    std::memcpy(&h, file.data() + offset, sizeof h);
    if (h.magic != record_magic || h.header_checksum != checksum_of_header(h)) {
        return std::nullopt;
    }
    const std::uint64_t end = offset + sizeof(header) + h.length;
    if (end > file.size()) {
        return std::nullopt;
    }
    const std::string_view payload = file.substr(offset + sizeof(header), h.length);
    if (checksum_of(payload) != h.payload_checksum) {
        return std::nullopt;
    }
    return record{h.sequence, payload, padded(end)};
}

std::optional<std::uint64_t> find_record(std::string_view file, std::uint64_t offset) {
    for (std::uint64_t at = padded(offset); at + sizeof(header) <= file.size();
         at += record_alignment) {
        if (record_at(file, at)) {
            return at;
        }
    }
    return std::nullopt;
}

}  // namespace burdockdeck::storage
