// Soft state of announced upstreams: the newest incarnation's last announcement and its time of
// arrival. Missing announcements remove an upstream only after a timeout.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "site.pb.h"

namespace burdockdeck::registry {

// Invariant: `latest` is the newest announcement by (born_ms, sequence) among those merged, with
// the most advanced state of its incarnation.
struct upstream_entry {
    schema::upstream_announcement latest;
    time_point last_seen{};
    // Value of `registry::changes` at the last change, not counting the fields that change with
    // every announcement.
    std::uint64_t last_change = 0;
};

struct registry {
    std::map<std::string, upstream_entry, std::less<>> upstreams;
    // Incremented by each change that must be sent to subscribers.
    std::uint64_t changes = 0;
};

// Effect of one announcement. `updated`: only the models that the upstream holds changed;
// `changed`: the upstream is new, or another field changed that does not change with every
// announcement.
enum class merge_result { changed, updated, refreshed, outdated };

// --- Queries

// Upstreams that changed after change number `known`, ordered by id.
[[nodiscard]] std::vector<schema::upstream_announcement> changed_since(const registry& r,
                                                                       std::uint64_t known);

// The announcement to merge once an upstream has said in its answers that it leaves; empty if this
// incarnation is not known or not ready.
[[nodiscard]] std::optional<schema::upstream_announcement> withdrawal_of(const registry& r,
                                                                         const std::string& id,
                                                                         std::uint64_t born_ms);

// --- Commands

// Stores an announcement unless a newer one of the same upstream is known. An incarnation keeps the
// software version that it announced first. A newer incarnation at an address marks all older ones
// at that address as gone; of those that started at the same time, the first one known keeps the
// address.
merge_result merge(registry& r, schema::upstream_announcement a, time_point now);
// Removes upstreams that have been gone for longer than `gone_retention`, and others that have sent
// no announcement for longer than `silence_timeout`. Returns the removed ids.
std::vector<std::string> expire(registry& r, time_point now, duration gone_retention,
                                duration silence_timeout);

}  // namespace burdockdeck::registry
