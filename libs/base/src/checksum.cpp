// Checksum functions implemented with xxHash (XXH3).
#include "base/checksum.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace burdockdeck {

std::uint64_t checksum_of(std::string_view bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string digest_of(std::string_view bytes) {
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

struct running_checksum::state {
    XXH3_state_t* xxh = XXH3_createState();
    ~state() {
        XXH3_freeState(xxh);
    }
    state() {
        XXH3_64bits_reset(xxh);
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;
};

running_checksum::running_checksum() : state_(std::make_unique<state>()) {}
running_checksum::~running_checksum() = default;
running_checksum::running_checksum(running_checksum&&) noexcept = default;
running_checksum& running_checksum::operator=(running_checksum&&) noexcept = default;

void running_checksum::update(std::string_view bytes) {
    XXH3_64bits_update(state_->xxh, bytes.data(), bytes.size());
}

std::uint64_t running_checksum::value() const {
    return XXH3_64bits_digest(state_->xxh);
}

}  // namespace burdockdeck
