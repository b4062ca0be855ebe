// Soft state of announced upstreams: the newest incarnation's last announcement and its time of
// arrival. Missing announcements remove an upstream only after a timeout.
//
// An announcement of another writer is known only by its service, which no deployment names. A
// deployment may name it later, and control instances and gateways learn of deployments at
// different times. So all announcements are kept, and those that name upstreams follow from the
// services of the deployment that the process knows: the others take neither id nor address.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "site.pb.h"

namespace burdockdeck::registry {

// Announcements that name no upstream are kept up to these limits. Those that were not repeated for
// longest are dropped first: an upstream repeats its own.
inline constexpr std::size_t max_inactive_entries = 4096;
inline constexpr std::size_t max_inactive_bytes = 16 * 1024 * 1024;
// The same for those of deployed services at one address; each change there looks at all of them.
inline constexpr std::size_t max_inactive_at_address = 16;

// One id may be announced for several services.
struct upstream_key {
    std::string id;
    std::string service;

    bool operator<(const upstream_key& other) const {
        return std::tie(id, service) < std::tie(other.id, other.service);
    }
};

// Invariant: `latest` is the newest announcement by (born_ms, sequence) among those merged, with
// the most advanced state of its incarnation.
struct upstream_entry {
    schema::upstream_announcement latest;
    time_point last_seen{};
    // Value of `registry::changes` at the last change, not counting the fields that change with
    // every announcement.
    std::uint64_t last_change = 0;
    // Position of this incarnation in the order of arrival.
    std::uint64_t arrival = 0;
    // It names an upstream: the deployment names its service, and its id and address belong to it.
    bool active = false;
    // The sequence number at which it lost its id or address to another upstream; empty if it has
    // not, or went on to announce itself after the other one had disappeared.
    std::optional<std::uint64_t> displaced_at;
};

// Invariants: `active` of each entry follows from `services` and the entries; `keys_by_change`
// holds each entry once, `deployed_by_address` each one whose service is deployed;
// `inactive_entries` and `inactive_bytes` are sums over the entries that are not active.
struct registry {
    std::map<upstream_key, upstream_entry> upstreams;
    // Services of the deployment in force; empty until one is known.
    std::optional<std::set<std::string, std::less<>>> services;
    // Incremented by each change that must be sent to subscribers.
    std::uint64_t changes = 0;
    std::uint64_t arrivals = 0;
    std::map<std::string, std::set<upstream_key>, std::less<>> deployed_by_address;
    std::map<std::uint64_t, upstream_key> keys_by_change;
    std::size_t inactive_entries = 0;
    std::size_t inactive_bytes = 0;
};

// Effect of one announcement. `updated`: only the models that the upstream holds changed;
// `changed`: the upstream is new, or another field changed that does not change with every
// announcement; `inactive`: it was stored and names no upstream, so that nobody has to be told.
enum class merge_result { changed, updated, refreshed, outdated, inactive };

// --- Queries

// Null if there is none.
[[nodiscard]] const upstream_entry* find_entry(const registry& r, const upstream_key& key);

// True if others are to be told of an announcement of this service: it may name an upstream, as far
// as is known here.
[[nodiscard]] bool may_be_deployed(const registry& r, const std::string& service);

// The keys of the entries that changed after change number `known`, in the order of the changes.
[[nodiscard]] std::vector<upstream_key> changed_keys(const registry& r, std::uint64_t known);

// Announcements that changed after change number `known`, in the order of the changes: of active
// entries, and of those that drain or have left. All others too while no deployment is known.
[[nodiscard]] std::vector<schema::upstream_announcement> changed_since(const registry& r,
                                                                       std::uint64_t known);

// The announcements to merge once an upstream has said in its answers that it leaves; none if this
// incarnation is not known or not ready.
[[nodiscard]] std::vector<schema::upstream_announcement> withdrawals_of(const registry& r,
                                                                        const std::string& id,
                                                                        std::uint64_t born_ms);

// The announcements to merge once an upstream has left: a departure names only the id.
[[nodiscard]] std::vector<schema::upstream_announcement> departures_of(const registry& r,
                                                                       const std::string& id);

// --- Commands

// Stores an announcement unless a newer one of the same id and service is known. An incarnation
// keeps the software version that it announced first. Among deployed services, an id and an address
// belong to the newest incarnation; of those that started at the same time, the first one known
// keeps them.
merge_result merge(registry& r, schema::upstream_announcement a, time_point now);

// Sets the services of the deployment in force. Returns the announcements that became active.
std::vector<schema::upstream_announcement> set_services(
    registry& r, std::set<std::string, std::less<>> services);

// Times from the last announcement until an entry is removed.
struct retention_times {
    // Of an upstream that has left.
    duration gone{};
    // Of an entry whose service the deployment does not name.
    duration undeployed{};
    duration other{};
};
// Returns the ids of the removed entries.
std::vector<std::string> expire(registry& r, time_point now, const retention_times& times);

}  // namespace burdockdeck::registry
