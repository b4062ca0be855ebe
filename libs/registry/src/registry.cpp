// Merges announcements that may arrive late, twice or out of order.
#include "registry/registry.h"

#include <tuple>

namespace burdockdeck::registry {

namespace {

using schema::upstream_announcement;

std::tuple<std::uint64_t, std::uint64_t> order_of(const upstream_announcement& a) {
    return {a.born_ms(), a.sequence()};
}

// True if the announcements are equal except for the fields that change with every announcement.
bool same_content(upstream_announcement a, const upstream_announcement& b) {
    a.set_sequence(b.sequence());
    a.set_cold_ms(b.cold_ms());
    a.set_leaves_ms(b.leaves_ms());
    return a.SerializeAsString() == b.SerializeAsString();
}

// The same, except for the models that the upstream holds.
bool same_but_for_models(upstream_announcement a, const upstream_announcement& b) {
    *a.mutable_models() = b.models();
    *a.mutable_in_memory() = b.in_memory();
    *a.mutable_on_disk() = b.on_disk();
    return same_content(std::move(a), b);
}

void mark_changed(registry& r, upstream_entry& e) {
    e.last_change = ++r.changes;
}

// An address belongs to its newest incarnation: marks all older ones at the address of `newer` as
// gone.
void mark_older_gone(registry& r, const upstream_announcement& newer) {
    for (auto& [id, e] : r.upstreams) {
        const bool older = e.latest.address() == newer.address() && id != newer.id() &&
                           e.latest.born_ms() < newer.born_ms();
        if (older && e.latest.state() != schema::announced_gone) {
            e.latest.set_state(schema::announced_gone);
            mark_changed(r, e);
        }
    }
}

// True if the address of `a` belongs to another incarnation: a newer one, or one that started at
// the same time, was known first and has not left.
bool address_is_taken(const registry& r, const upstream_announcement& a) {
    for (const auto& [id, e] : r.upstreams) {
        const upstream_announcement& other = e.latest;
        if (id == a.id() || other.address() != a.address()) {
            continue;
        }
        const bool known_first =
            other.born_ms() == a.born_ms() && other.state() != schema::announced_gone;
        if (other.born_ms() > a.born_ms() || known_first) {
            return true;
        }
    }
    return false;
}

// A start of an upstream has one software version, the first that it announced. An earlier version
// of this program announced none.
void keep_software_version(upstream_announcement& a, const upstream_announcement& known) {
    if (a.born_ms() == known.born_ms() && !known.software_version().empty()) {
        a.set_software_version(known.software_version());
    }
}

}  // namespace

std::vector<upstream_announcement> changed_since(const registry& r, std::uint64_t known) {
    std::vector<upstream_announcement> out;
    for (const auto& [id, e] : r.upstreams) {
        if (e.last_change > known) {
            out.push_back(e.latest);
        }
    }
    return out;
}

merge_result merge(registry& r, upstream_announcement a, time_point now) {
    const auto found = r.upstreams.find(a.id());
    if (found != r.upstreams.end()) {
        keep_software_version(a, found->second.latest);
        const upstream_announcement& known = found->second.latest;
        const bool newer = order_of(a) > order_of(known);
        const bool same_incarnation = known.born_ms() == a.born_ms();
        // A departure, or a gateway's report that the upstream leaves, repeats an announcement that
        // may be older than the latest.
        if (!newer && same_incarnation && a.state() > known.state()) {
            found->second.latest.set_state(a.state());
            found->second.last_seen = now;
            mark_changed(r, found->second);
            return merge_result::changed;
        }
        if (!newer) {
            return merge_result::outdated;
        }
        // The state never moves back within an incarnation: a draining upstream stays draining.
        if (same_incarnation && a.state() < known.state()) {
            found->second.last_seen = now;
            return merge_result::outdated;
        }
    }
    if (a.state() != schema::announced_gone && address_is_taken(r, a)) {
        return merge_result::outdated;
    }
    upstream_entry& e = r.upstreams[a.id()];
    const bool changed = e.last_change == 0 || !same_but_for_models(a, e.latest);
    const bool updated = !changed && !same_content(a, e.latest);
    e.latest = a;
    e.last_seen = now;
    if (!changed && !updated) {
        return merge_result::refreshed;
    }
    mark_changed(r, e);
    if (updated) {
        return merge_result::updated;
    }
    mark_older_gone(r, a);
    return merge_result::changed;
}

std::optional<upstream_announcement> withdrawal_of(const registry& r, const std::string& id,
                                                   std::uint64_t born_ms) {
    const auto found = r.upstreams.find(id);
    if (found == r.upstreams.end() || found->second.latest.born_ms() != born_ms ||
        found->second.latest.state() != schema::announced_ready) {
        return std::nullopt;
    }
    upstream_announcement a = found->second.latest;
    a.set_state(schema::announced_draining);
    return a;
}

std::vector<std::string> expire(registry& r, time_point now, duration gone_retention,
                                duration silence_timeout) {
    std::vector<std::string> dropped;
    std::erase_if(r.upstreams, [&](const auto& item) {
        const upstream_entry& e = item.second;
        const bool gone = e.latest.state() == schema::announced_gone;
        const bool drop = now - e.last_seen > (gone ? gone_retention : silence_timeout);
        if (drop) {
            dropped.push_back(item.first);
        }
        return drop;
    });
    return dropped;
}

}  // namespace burdockdeck::registry
