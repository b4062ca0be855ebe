// Checksums and digests of byte strings (xxHash).
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace burdockdeck {

// 64-bit checksum of `bytes`.
[[nodiscard]] std::uint64_t checksum_of(std::string_view bytes);

// 128-bit digest of `bytes` as 32 lower-case hexadecimal digits.
[[nodiscard]] std::string digest_of(std::string_view bytes);

// Incremental form of checksum_of: gives the same value for the concatenated bytes.
class running_checksum {
public:
    running_checksum();
    ~running_checksum();
    running_checksum(running_checksum&&) noexcept;
    running_checksum& operator=(running_checksum&&) noexcept;

    void update(std::string_view bytes);
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck
