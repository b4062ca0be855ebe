// Record format of the log file: one record per batch. A record is a 32-byte header (magic, payload
// length, batch sequence, payload checksum, header checksum) and the payload, padded to 8 bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockdeck::storage {

inline constexpr std::size_t record_alignment = 8;

struct record {
    std::uint64_t sequence = 0;
    std::string_view payload;
    // Offset of the next record.
    std::uint64_t next_offset = 0;
};

// Encodes one batch as a record.
[[nodiscard]] std::string frame_record(std::uint64_t sequence, std::string_view payload);

// The intact record at `offset`, if there is one.
[[nodiscard]] std::optional<record> record_at(std::string_view file, std::uint64_t offset);

// The offset of the first intact record at or after `offset`. At most one batch is unsynced at any
// time, so an intact record after a damaged one proves that synced data was damaged.
[[nodiscard]] std::optional<std::uint64_t> find_record(std::string_view file, std::uint64_t offset);

}  // namespace burdockdeck::storage
