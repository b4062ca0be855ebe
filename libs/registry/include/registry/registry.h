// Soft state of the upstreams that announced themselves: which incarnation is the newest, what it
// last said, and when it was last heard. Silence alone removes nothing at once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "site.pb.h"

namespace burdockdeck::registry {

// Invariant: `latest` is the newest announcement by (born_ms, sequence) among those merged.
struct upstream_entry {
    schema::upstream_announcement latest;
    time_point last_seen{};
    // Number of the last change other than its sequence; see `registry::changes`.
    std::uint64_t changed_at = 0;
};

struct registry {
    std::map<std::string, upstream_entry, std::less<>> upstreams;
    // Rises with each change that subscribers must learn of.
    std::uint64_t changes = 0;
};

// What became of one announcement.
enum class merge_result { changed, refreshed, outdated };

// --- Queries

// Those that changed after number `known`, in the order of their ids.
[[nodiscard]] std::vector<schema::upstream_announcement> changed_since(const registry& r,
                                                                       std::uint64_t known);

// --- Commands

// Takes an announcement in, unless a newer one of the same upstream is known. A newer incarnation
// at an address ends every older one there.
merge_result merge(registry& r, const schema::upstream_announcement& a, time_point now);
// Drops those that left longer than `gone_kept` ago, and those silent for longer than
// `silence_kept`. Returns the ids dropped.
std::vector<std::string> expire(registry& r, time_point now, duration gone_kept,
                                duration silence_kept);

}  // namespace burdockdeck::registry
