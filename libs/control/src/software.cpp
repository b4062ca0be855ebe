// Compares the list with the announcements in the registry.
#include "software.h"

#include <algorithm>

#include "catalog/catalog.h"
#include "instance.h"
#include "runtime/log.h"
#include "site.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

schema::software_version_command command_for(const software_key& key, bool remove) {
    schema::software_version_command c;
    c.set_service(key.first);
    c.set_version(key.second);
    c.set_remove(remove);
    return c;
}

// True if the version of the announced upstream is to be added.
bool lacks(const schema::catalog_state& state, const registry::upstream_entry& e) {
    const schema::upstream_announcement& a = e.latest;
    if (!e.active || a.state() != schema::announced_ready || a.software_version().empty()) {
        return false;
    }
    const auto found = state.software().find(a.service());
    const bool full = found != state.software().end() &&
                      found->second.versions_size() >= catalog::max_software_versions;
    return !full && !is_listed(state, {a.service(), a.software_version()});
}

void propose(instance& i, const schema::software_version_command& change) {
    const software_key key{change.service(), change.version()};
    if (!change.remove() && !i.site->software.proposed.insert(key).second) {
        return;
    }
    schema::command command;
    *command.mutable_software_version() = change;
    i.raft->submit(std::move(command),
                   [&i, key, change](submit_outcome outcome, const schema::command_reply& reply) {
                       i.site->software.proposed.erase(key);
                       const bool done = outcome == submit_outcome::applied &&
                                         reply.status() == schema::status_done;
                       log_event(done ? severity::info : severity::warning, event::software_version,
                                 {{"service", change.service()},
                                  {"version", change.version()},
                                  {"step", change.remove() ? "remove" : "add"},
                                  {"committed", done ? "yes" : "no"},
                                  {"reason", reply.message()}});
                   });
}

}  // namespace

bool is_listed(const schema::catalog_state& state, const software_key& key) {
    const auto found = state.software().find(key.first);
    if (found == state.software().end()) {
        return false;
    }
    const auto& versions = found->second.versions();
    return std::find(versions.begin(), versions.end(), key.second) != versions.end();
}

rpc::software_versions software_of(const schema::catalog_state& state) {
    rpc::software_versions out;
    out.set_revision(state.software_revision());
    *out.mutable_services() = state.software();
    return out;
}

std::vector<schema::software_version_command> review_software(const schema::catalog_state& state,
                                                              const registry::registry& upstreams,
                                                              software_review& review,
                                                              time_point now) {
    if (now - review.reviewed_at > max_software_review_gap) {
        review.seen.clear();
    }
    review.reviewed_at = now;
    std::set<software_key> added;
    for (const auto& [announced, e] : upstreams.upstreams) {
        const schema::upstream_announcement& a = e.latest;
        const software_key key{a.service(), a.software_version()};
        if (a.state() != schema::announced_gone && is_listed(state, key)) {
            review.seen[key] = now;
        } else if (lacks(state, e)) {
            added.insert(key);
        }
    }
    std::vector<schema::software_version_command> changes;
    changes.reserve(added.size());
    for (const software_key& key : added) {
        changes.push_back(command_for(key, false));
    }
    for (const auto& [service, software] : state.software()) {
        for (const std::string& version : software.versions()) {
            const software_key key{service, version};
            if (now - review.seen.try_emplace(key, now).first->second > software_retention) {
                changes.push_back(command_for(key, true));
            }
        }
    }
    std::erase_if(review.seen, [&](const auto& item) { return !is_listed(state, item.first); });
    return changes;
}

void maintain_software(instance& i, time_point now) {
    if (!i.raft->is_leader()) {
        i.site->software.seen.clear();
        return;
    }
    for (const schema::software_version_command& change :
         review_software(i.raft->state(), i.site->upstreams, i.site->software, now)) {
        propose(i, change);
    }
}

void add_software(instance& i, const schema::upstream_announcement& a) {
    const registry::upstream_entry* e = find_entry(i.site->upstreams, {a.id(), a.service()});
    if (i.raft->is_leader() && e != nullptr && lacks(i.raft->state(), *e)) {
        propose(i, command_for({a.service(), a.software_version()}, false));
    }
}

void read_software(instance& i, std::function<void(rpc::read_software_reply)> done) {
    i.raft->read_barrier([&i, done = std::move(done)](bool confirmed) {
        rpc::read_software_reply reply;
        reply.set_confirmed(confirmed);
        if (confirmed) {
            *reply.mutable_software() = software_of(i.raft->state());
        }
        done(std::move(reply));
    });
}

}  // namespace burdockdeck::control
