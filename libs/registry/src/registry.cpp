// Merges announcements that may arrive late, twice or out of order.
#include "registry/registry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace burdockdeck::registry {

namespace {

using schema::upstream_announcement;

std::tuple<std::uint64_t, std::uint64_t> order_of(const upstream_announcement& a) {
    return {a.born_ms(), a.sequence()};
}

upstream_key key_of(const upstream_announcement& a) {
    return {a.id(), a.service()};
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

void mark_changed(registry& r, const upstream_key& key, upstream_entry& e) {
    r.keys_by_change.erase(e.last_change);
    e.last_change = ++r.changes;
    r.keys_by_change[e.last_change] = key;
}

bool is_deployed(const registry& r, const std::string& service) {
    return r.services && r.services->contains(service);
}

std::vector<upstream_key> keys_with_id(const registry& r, const std::string& id) {
    std::vector<upstream_key> out;
    for (auto it = r.upstreams.lower_bound({id, ""}); it != r.upstreams.end() && it->first.id == id;
         ++it) {
        out.push_back(it->first);
    }
    return out;
}

const std::set<upstream_key>& deployed_at(const registry& r, const std::string& address) {
    static const std::set<upstream_key> none;
    const auto found = r.deployed_by_address.find(address);
    return found == r.deployed_by_address.end() ? none : found->second;
}

// The newest of these entries that are of deployed services; of those that started at the same time
// and have not left, the first that arrived. Null if there is none.
template <typename Keys>
const upstream_entry* owner_among(const registry& r, const Keys& keys) {
    const auto rank = [](const upstream_entry& e) {
        const bool stays = e.latest.state() != schema::announced_gone;
        return std::tuple(e.latest.born_ms(), stays, ~e.arrival);
    };
    const upstream_entry* owner = nullptr;
    for (const upstream_key& key : keys) {
        if (is_deployed(r, key.service)) {
            const upstream_entry& e = r.upstreams.at(key);
            owner = owner == nullptr || rank(e) > rank(*owner) ? &e : owner;
        }
    }
    return owner;
}

// Owners of ids and addresses, looked up once each.
struct owners {
    std::map<std::string, const upstream_entry*> by_id;
    std::map<std::string, const upstream_entry*> by_address;
};

const upstream_entry* owner_of_id(const registry& r, owners& known, const std::string& id) {
    const auto [at, added] = known.by_id.try_emplace(id);
    if (added) {
        at->second = owner_among(r, keys_with_id(r, id));
    }
    return at->second;
}

const upstream_entry* owner_of_address(const registry& r, owners& known,
                                       const std::string& address) {
    const auto [at, added] = known.by_address.try_emplace(address);
    if (added) {
        at->second = owner_among(r, deployed_at(r, address));
    }
    return at->second;
}

// An owner that has left keeps older incarnations away, but not those of its own start time.
bool displaces(const upstream_entry* owner, const upstream_entry& e) {
    if (owner == nullptr || owner == &e) {
        return false;
    }
    const bool arrived_first = owner->latest.born_ms() == e.latest.born_ms() &&
                               owner->latest.state() != schema::announced_gone &&
                               owner->arrival < e.arrival;
    return owner->latest.born_ms() > e.latest.born_ms() || arrived_first;
}

void add_inactive(registry& r, const upstream_entry& e) {
    ++r.inactive_entries;
    r.inactive_bytes += e.latest.ByteSizeLong();
}

void subtract_inactive(registry& r, const upstream_entry& e) {
    --r.inactive_entries;
    r.inactive_bytes -= e.latest.ByteSizeLong();
}

// True if the entry became active.
bool update_active(registry& r, const upstream_key& key, upstream_entry& e, owners& known) {
    const bool deployed = is_deployed(r, key.service);
    const bool displaced =
        deployed && (displaces(owner_of_id(r, known, key.id), e) ||
                     displaces(owner_of_address(r, known, e.latest.address()), e));
    if (displaced && e.active) {
        e.displaced_at = e.latest.sequence();
    }
    const bool went_on = !e.displaced_at || e.latest.sequence() > *e.displaced_at;
    const bool active = deployed && !displaced && went_on;
    if (active == e.active) {
        return false;
    }
    e.active = active;
    if (active) {
        e.displaced_at.reset();
        subtract_inactive(r, e);
    } else {
        add_inactive(r, e);
    }
    mark_changed(r, key, e);
    return active;
}

// Updates the entries that have the id or the address of `a`, if its service is deployed.
void update_rivals(registry& r, const upstream_announcement& a) {
    if (!is_deployed(r, a.service())) {
        return;
    }
    std::set<upstream_key> rivals = deployed_at(r, a.address());
    for (upstream_key& key : keys_with_id(r, a.id())) {
        rivals.insert(std::move(key));
    }
    owners known;
    for (const upstream_key& key : rivals) {
        (void)update_active(r, key, r.upstreams.at(key), known);
    }
}

void add_to_index(registry& r, const upstream_key& key, const std::string& address) {
    if (is_deployed(r, key.service)) {
        r.deployed_by_address[address].insert(key);
    }
}

void remove_from_index(registry& r, const upstream_key& key, const std::string& address) {
    const auto found = r.deployed_by_address.find(address);
    if (found == r.deployed_by_address.end()) {
        return;
    }
    found->second.erase(key);
    if (found->second.empty()) {
        r.deployed_by_address.erase(found);
    }
}

// Erases an entry and returns its announcement; the entries that it displaced are not updated.
upstream_announcement erase(registry& r, const upstream_key& key) {
    const auto found = r.upstreams.find(key);
    if (!found->second.active) {
        subtract_inactive(r, found->second);
    }
    upstream_announcement last = std::move(found->second.latest);
    r.keys_by_change.erase(found->second.last_change);
    remove_from_index(r, key, last.address());
    r.upstreams.erase(found);
    return last;
}

void remove(registry& r, const upstream_key& key) {
    update_rivals(r, erase(r, key));
}

// Stores `a` in its entry, which is added if there is none.
upstream_entry& store(registry& r, const upstream_announcement& a, time_point now) {
    const upstream_key key = key_of(a);
    const auto [at, added] = r.upstreams.try_emplace(key);
    upstream_entry& e = at->second;
    if (!added && !e.active) {
        subtract_inactive(r, e);
    }
    if (added || e.latest.born_ms() != a.born_ms()) {
        e.arrival = ++r.arrivals;
        e.displaced_at.reset();
    }
    if (!added && e.latest.address() != a.address()) {
        remove_from_index(r, key, e.latest.address());
    }
    add_to_index(r, key, a.address());
    e.latest = a;
    e.last_seen = now;
    if (!e.active) {
        add_inactive(r, e);
    }
    return e;
}

void drop_excess(registry& r) {
    while (r.inactive_entries > max_inactive_entries || r.inactive_bytes > max_inactive_bytes) {
        auto oldest = r.upstreams.end();
        for (auto it = r.upstreams.begin(); it != r.upstreams.end(); ++it) {
            const bool older =
                oldest == r.upstreams.end() || it->second.last_seen < oldest->second.last_seen;
            if (!it->second.active && older) {
                oldest = it;
            }
        }
        const upstream_key key = oldest->first;
        remove(r, key);
    }
}

void drop_excess_at(registry& r, const std::string& address) {
    std::vector<std::pair<time_point, upstream_key>> inactive;
    for (const upstream_key& key : deployed_at(r, address)) {
        const upstream_entry& e = r.upstreams.at(key);
        if (!e.active) {
            inactive.emplace_back(e.last_seen, key);
        }
    }
    if (inactive.size() <= max_inactive_at_address) {
        return;
    }
    std::sort(inactive.begin(), inactive.end());
    inactive.resize(inactive.size() - max_inactive_at_address);
    std::vector<upstream_announcement> erased;
    erased.reserve(inactive.size());
    for (const auto& [last_seen, key] : inactive) {
        erased.push_back(erase(r, key));
    }
    for (const upstream_announcement& last : erased) {
        update_rivals(r, last);
    }
}

// A start of an upstream has one software version, the first that it announced. An earlier version
// of this program announced none.
void keep_software_version(upstream_announcement& a, const upstream_announcement& known) {
    if (a.born_ms() == known.born_ms() && !known.software_version().empty()) {
        a.set_software_version(known.software_version());
    }
}

// Applies an announcement that is not newer than the latest one of its entry. A departure, or a
// gateway's report that the upstream leaves, repeats one that may be older.
merge_result merge_late(registry& r, const upstream_announcement& a, time_point now) {
    upstream_entry& e = r.upstreams.at(key_of(a));
    if (e.latest.born_ms() != a.born_ms() || a.state() <= e.latest.state()) {
        return merge_result::outdated;
    }
    upstream_announcement advanced = e.latest;
    advanced.set_state(a.state());
    mark_changed(r, key_of(a), store(r, advanced, now));
    update_rivals(r, advanced);
    return may_be_deployed(r, a.service()) ? merge_result::changed : merge_result::inactive;
}

}  // namespace

const upstream_entry* find_entry(const registry& r, const upstream_key& key) {
    const auto found = r.upstreams.find(key);
    return found == r.upstreams.end() ? nullptr : &found->second;
}

bool may_be_deployed(const registry& r, const std::string& service) {
    return !r.services || is_deployed(r, service);
}

std::vector<upstream_key> changed_keys(const registry& r, std::uint64_t known) {
    std::vector<upstream_key> out;
    for (auto it = r.keys_by_change.upper_bound(known); it != r.keys_by_change.end(); ++it) {
        out.push_back(it->second);
    }
    return out;
}

std::vector<upstream_announcement> changed_since(const registry& r, std::uint64_t known) {
    std::vector<upstream_announcement> out;
    for (const upstream_key& key : changed_keys(r, known)) {
        const upstream_entry& e = r.upstreams.at(key);
        const bool accepting = e.latest.state() == schema::announced_ready;
        const bool leaves = !accepting && is_deployed(r, key.service);
        if (!r.services || e.active || leaves) {
            out.push_back(e.latest);
        }
    }
    return out;
}

merge_result merge(registry& r, upstream_announcement a, time_point now) {
    const upstream_key key = key_of(a);
    std::optional<upstream_announcement> known;
    if (const upstream_entry* e = find_entry(r, key)) {
        known = e->latest;
        keep_software_version(a, *known);
        if (order_of(a) <= order_of(*known)) {
            return merge_late(r, a, now);
        }
        // The state never moves back within an incarnation: a draining upstream stays draining.
        if (known->born_ms() == a.born_ms() && a.state() < known->state()) {
            r.upstreams.at(key).last_seen = now;
            return merge_result::outdated;
        }
    }
    const bool changed = !known || !same_but_for_models(a, *known);
    const bool updated = !changed && !same_content(a, *known);
    const std::uint64_t changes_before = r.changes;
    upstream_entry& e = store(r, a, now);
    if (known && known->address() != a.address()) {
        update_rivals(r, *known);
    }
    const bool was_active = e.active;
    if (changed) {
        update_rivals(r, a);
    } else if (!e.active) {
        owners known_owners;
        (void)update_active(r, key, e, known_owners);
    }
    if ((changed || updated) && e.last_change <= changes_before) {
        mark_changed(r, key, e);
    }
    const bool told = e.active || !r.services;
    const bool activated = e.active && !was_active;
    drop_excess_at(r, a.address());
    drop_excess(r);
    if (!told) {
        return merge_result::inactive;
    }
    return changed || activated ? merge_result::changed
           : updated            ? merge_result::updated
                                : merge_result::refreshed;
}

std::vector<upstream_announcement> set_services(registry& r,
                                                std::set<std::string, std::less<>> services) {
    std::vector<upstream_announcement> activated;
    if (r.services == services) {
        return activated;
    }
    r.services = std::move(services);
    r.deployed_by_address.clear();
    for (const auto& [key, e] : r.upstreams) {
        add_to_index(r, key, e.latest.address());
    }
    owners known;
    for (auto& [key, e] : r.upstreams) {
        if (update_active(r, key, e, known)) {
            activated.push_back(e.latest);
        }
    }
    std::vector<std::string> crowded;
    for (const auto& [address, keys] : r.deployed_by_address) {
        if (keys.size() > max_inactive_at_address) {
            crowded.push_back(address);
        }
    }
    for (const std::string& address : crowded) {
        drop_excess_at(r, address);
    }
    drop_excess(r);
    return activated;
}

std::vector<upstream_announcement> withdrawals_of(const registry& r, const std::string& id,
                                                  std::uint64_t born_ms) {
    std::vector<upstream_announcement> out;
    for (const upstream_key& key : keys_with_id(r, id)) {
        const upstream_announcement& known = r.upstreams.at(key).latest;
        if (known.born_ms() == born_ms && known.state() == schema::announced_ready) {
            out.push_back(known);
            out.back().set_state(schema::announced_draining);
        }
    }
    return out;
}

std::vector<upstream_announcement> departures_of(const registry& r, const std::string& id) {
    std::vector<upstream_announcement> out;
    for (const upstream_key& key : keys_with_id(r, id)) {
        out.push_back(r.upstreams.at(key).latest);
        out.back().set_state(schema::announced_gone);
    }
    return out;
}

std::vector<std::string> expire(registry& r, time_point now, const retention_times& times) {
    std::vector<upstream_key> expired;
    for (const auto& [key, e] : r.upstreams) {
        const bool gone = e.latest.state() == schema::announced_gone;
        const duration longest = !may_be_deployed(r, key.service) ? times.undeployed
                                 : gone                           ? times.gone
                                                                  : times.other;
        if (now - e.last_seen > longest) {
            expired.push_back(key);
        }
    }
    std::vector<std::string> ids;
    ids.reserve(expired.size());
    for (const upstream_key& key : expired) {
        remove(r, key);
        ids.push_back(key.id);
    }
    return ids;
}

}  // namespace burdockdeck::registry
