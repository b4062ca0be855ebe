// What a gateway routes by: the deployment in force and the upstreams. Belongs to the traffic loop.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "deployment/deployment.h"
#include "dispatch/roles.h"
#include "dispatch/upstream.h"
#include "site.pb.h"

namespace burdockdeck::gateway {

// A deployment that was not confirmed for this long may be an old one. With the 1.4 s that
// control's own knowledge may be old, it stays below the 2 s in which operators expect a change in
// force.
inline constexpr duration confirmation_validity = std::chrono::milliseconds(500);

struct site_view {
    // Version 0 until control has told the first deployment.
    deployment::site current;
    // The newest version that any control instance told of.
    std::uint64_t newest_reported_version = 0;
    // When an instance was asked that answered, being up to date, that `current` is the newest; the
    // zero time before the first. The arrival of updates confirms nothing: they may have waited.
    time_point confirmed_at{};
    std::map<std::string, dispatch::upstream> upstreams;
    // The newest announcement taken of each upstream.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> last_announcements;
    // Upstreams and models that the planner is about to unload.
    std::set<std::pair<std::string, std::string>> pending_unloads;
    // Gateways that share the fleet's budgets.
    std::uint32_t gateways = 1;
};

// --- Queries

[[nodiscard]] std::vector<dispatch::upstream*> upstreams_of(site_view& v, std::string_view service);

// True if a request without a route here has none in the newest deployment either.
[[nodiscard]] bool has_newest_deployment(const site_view& v, time_point now);

// --- Commands

// Divides the engines of each service again; call it after announcements and deployments changed.
void assign_roles(site_view& v, const dispatch::role_settings& s);
// Takes over an announcement unless a newer one is known. True if anything changed.
bool apply_announcement(site_view& v, const schema::upstream_announcement& a, time_point now);

}  // namespace burdockdeck::gateway
