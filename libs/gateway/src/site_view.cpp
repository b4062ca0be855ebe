// Applies announcements of upstreams to the view.
#include "site_view.h"

#include <utility>

#include "settings/common.h"

namespace burdockdeck::gateway {

namespace {

void update_models(dispatch::upstream& u, const schema::upstream_announcement& a) {
    std::map<std::string, dispatch::loaded_model, std::less<>> models;
    for (const schema::present_model& m : a.models()) {
        dispatch::loaded_model& held = models[m.name()];
        held.version = m.version();
        const auto previous = u.models.find(m.name());
        if (previous != u.models.end() && previous->second.version == m.version()) {
            held.adapters = previous->second.adapters;
        }
    }
    u.models = std::move(models);
    u.weights_in_memory = {a.in_memory().begin(), a.in_memory().end()};
    u.weights_on_disk = {a.on_disk().begin(), a.on_disk().end()};
}

void withdraw(dispatch::upstream& u, time_point now) {
    u.withdrawn_at = u.accepting ? now : u.withdrawn_at;
    u.accepting = false;
}

void apply_active(site_view& v, const schema::upstream_announcement& a, time_point now) {
    dispatch::upstream& u = v.upstreams[a.id()];
    const bool restarted =
        u.born_ms != a.born_ms() || u.address != a.address() || u.service != a.service();
    if (restarted) {
        const std::uint32_t in_flight = u.in_flight;
        u = {};
        v.divided_engines.clear();
        u.in_flight = in_flight;
        u.id = a.id();
        u.born_ms = a.born_ms();
        u.address = a.address();
        u.service = a.service();
        if (const auto at = settings::parse_endpoint(u.address)) {
            v.ids_by_ip[at->ip].insert(u.id);
        }
    }
    if (u.software_version.empty()) {
        u.software_version = a.software_version();
    }
    u.failure_domain = a.failure_domain();
    u.slots = a.slots();
    if (a.state() == schema::announced_ready) {
        u.accepting = true;
        u.withdrawn_at = {};
    } else {
        withdraw(u, now);
    }
    u.cold_until = a.cold_ms() > 0 ? now + std::chrono::milliseconds(a.cold_ms()) : time_point{};
    u.leaves_at =
        a.leaves_ms() > 0 ? now + std::chrono::milliseconds(a.leaves_ms()) : time_point::max();
    update_models(u, a);
}

// An upstream whose service is deployed and that is not active has lost its id or address to
// another one. True if the view changed.
bool withdraw_displaced(site_view& v, const schema::upstream_announcement& a, time_point now) {
    const auto found = v.upstreams.find(a.id());
    if (!registry::may_be_deployed(v.announced, a.service()) || found == v.upstreams.end() ||
        found->second.born_ms != a.born_ms() || found->second.service != a.service() ||
        !found->second.accepting) {
        return false;
    }
    withdraw(found->second, now);
    return true;
}

// Brings the upstreams in line with the entries that changed; true if the view changed.
bool apply_changed_entries(site_view& v, time_point now) {
    bool changed = false;
    for (const registry::upstream_key& key : changed_keys(v.announced, v.applied_changes)) {
        const registry::upstream_entry& e = *find_entry(v.announced, key);
        if (e.active) {
            apply_active(v, e.latest, now);
            changed = true;
        } else {
            changed = withdraw_displaced(v, e.latest, now) || changed;
        }
    }
    v.applied_changes = v.announced.changes;
    return changed;
}

// Factor by which earlier prompts count less with each one.
constexpr double prompt_decay = 0.98;
// Share of long prompts in all prompt tokens from which on engines are divided.
constexpr double min_long_share = 0.5;

bool are_mostly_long(const site_view& v, const std::string& service) {
    const auto found = v.prompts.find(service);
    return found != v.prompts.end() &&
           found->second.long_tokens >= min_long_share * found->second.all_tokens;
}

}  // namespace

std::vector<dispatch::upstream*> upstreams_of(site_view& v, std::string_view service) {
    std::vector<dispatch::upstream*> out;
    for (auto& [id, u] : v.upstreams) {
        if (u.service == service) {
            out.push_back(&u);
        }
    }
    return out;
}

const dispatch::software_set& recorded_versions(const site_view& v, std::string_view service) {
    static const dispatch::software_set none;
    const auto found = v.software.versions.find(service);
    return found == v.software.versions.end() ? none : found->second;
}

dispatch::upstream* engine_at(site_view& v, std::string_view ip, std::uint64_t born_ms) {
    const auto ids = v.ids_by_ip.find(ip);
    if (ids == v.ids_by_ip.end()) {
        return nullptr;
    }
    for (const std::string& id : ids->second) {
        const auto found = v.upstreams.find(id);
        if (found != v.upstreams.end() && found->second.born_ms == born_ms) {
            return &found->second;
        }
    }
    return nullptr;
}

bool has_newest_deployment(const site_view& v, time_point now) {
    return v.current.version != 0 && v.current.version >= v.newest_reported_version &&
           now - v.confirmed_at <= confirmation_validity;
}

void assign_roles(site_view& v, const dispatch::role_settings& s) {
    for (const deployment::service_spec& service : v.current.services) {
        if (service.engine.slots == 0) {
            continue;
        }
        const std::vector<dispatch::upstream*> upstreams = upstreams_of(v, service.name);
        std::vector<dispatch::engine_location> places;
        if (are_mostly_long(v, service.name)) {
            for (const dispatch::upstream* u : upstreams) {
                if (u->accepting) {
                    places.push_back({u->address, u->failure_domain});
                }
            }
        }
        if (places == v.divided_engines[service.name]) {
            continue;
        }
        const std::set<std::string> chosen = dispatch::short_prompt_engines(places, s);
        for (dispatch::upstream* u : upstreams) {
            u->role = chosen.empty()                ? dispatch::engine_role::any
                      : chosen.contains(u->address) ? dispatch::engine_role::short_prompts
                                                    : dispatch::engine_role::long_prompts;
        }
        v.divided_engines[service.name] = std::move(places);
    }
}

void record_prompt(site_view& v, const std::string& service, std::uint32_t tokens,
                   const dispatch::role_settings& s) {
    const bool divided = are_mostly_long(v, service);
    prompt_mix& mix = v.prompts[service];
    mix.long_tokens =
        prompt_decay * mix.long_tokens + (tokens >= s.long_prompt_tokens ? tokens : 0);
    mix.all_tokens = prompt_decay * mix.all_tokens + tokens;
    if (are_mostly_long(v, service) != divided) {
        assign_roles(v, s);
    }
}

void apply_software(site_view& v, const rpc::software_versions& list) {
    if (list.revision() < v.software.revision) {
        return;
    }
    v.software.revision = list.revision();
    v.software.versions.clear();
    for (const auto& [service, software] : list.services()) {
        v.software.versions[service] = {software.versions().begin(), software.versions().end()};
    }
}

bool apply_announcement(site_view& v, const schema::upstream_announcement& a, time_point now) {
    const registry::merge_result merged = registry::merge(v.announced, a, now);
    const bool changed = apply_changed_entries(v, now);
    if (merged != registry::merge_result::refreshed) {
        return changed;
    }
    const registry::upstream_entry* e = find_entry(v.announced, {a.id(), a.service()});
    if (e == nullptr || !e->active) {
        return changed;
    }
    apply_active(v, e->latest, now);
    return true;
}

bool apply_services(site_view& v, time_point now) {
    std::set<std::string, std::less<>> services;
    for (const deployment::service_spec& s : v.current.services) {
        services.insert(s.name);
    }
    (void)registry::set_services(v.announced, std::move(services));
    return apply_changed_entries(v, now);
}

}  // namespace burdockdeck::gateway
