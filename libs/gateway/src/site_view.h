// The state that a gateway routes by: the deployment in force and the announced upstreams. Used on
// the traffic loop.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "deployment/deployment.h"
#include "dispatch/roles.h"
#include "dispatch/upstream.h"
#include "registry/registry.h"
#include "services.pb.h"
#include "site.pb.h"

namespace burdockdeck::gateway {

// How long a confirmation that a deployment is the newest remains valid. Control's own state may be
// 1.4 s old; the sum stays below the 2 s within which operators expect a change to take effect.
inline constexpr duration confirmation_validity = std::chrono::milliseconds(500);

// Sums over recent prompts; older ones count less and less.
struct prompt_mix {
    double long_tokens = 0;
    double all_tokens = 0;
};

// The software versions at which streams may have been begun, as control last told.
struct software_list {
    std::uint64_t revision = 0;
    // By service.
    std::map<std::string, dispatch::software_set, std::less<>> versions;
};

struct site_view {
    // Version 0 until the first deployment has been received from control.
    deployment::site current;
    // The newest version reported by any control instance.
    std::uint64_t newest_reported_version = 0;
    // Send time of the latest request to which an up-to-date control instance answered that
    // `current` is the newest; the zero time before the first. Updates are no confirmation, since
    // they may have been queued.
    time_point confirmed_at{};
    std::map<std::string, dispatch::upstream> upstreams;
    // Ids of the upstreams that were announced at each IP address.
    std::map<std::string, std::set<std::string>, std::less<>> ids_by_ip;
    // All announcements received. `upstreams` holds those that are or were active, by id.
    registry::registry announced;
    // The value of `announced.changes` that `upstreams` reflects.
    std::uint64_t applied_changes = 0;
    // Pairs of upstream and model that the planner is about to unload.
    std::set<std::pair<std::string, std::string>> pending_unloads;
    // When models that no engine holds are expected to be loaded, as the leader plans it.
    std::map<std::string, time_point, std::less<>> expected_models;
    // Prompts that this gateway received, by service.
    std::map<std::string, prompt_mix, std::less<>> prompts;
    // The engines by which roles were last assigned, by service; none if they are not divided.
    std::map<std::string, std::vector<dispatch::engine_location>, std::less<>> divided_engines;
    software_list software;
    // Number of gateways that share the fleet's retry budgets.
    std::uint32_t gateways = 1;
};

// --- Queries

[[nodiscard]] std::vector<dispatch::upstream*> upstreams_of(site_view& v, std::string_view service);

// The software versions at which a stream of the service may begin.
[[nodiscard]] const dispatch::software_set& recorded_versions(const site_view& v,
                                                              std::string_view service);

// The engine that started at `born_ms` at this IP address; null if there is none.
[[nodiscard]] dispatch::upstream* engine_at(site_view& v, std::string_view ip,
                                            std::uint64_t born_ms);

// True if the deployment in force is confirmed to be the newest, so that a request without a route
// in it can be answered with 404.
[[nodiscard]] bool has_newest_deployment(const site_view& v, time_point now);

// --- Commands

// Reassigns the engines of each service to short and long prompts; to be called after each change
// of announcements or deployment. A service is divided only while most tokens that its engines read
// belong to long prompts; otherwise its short prompts use all engines.
void assign_roles(site_view& v, const dispatch::role_settings& s);
// Records that a prompt arrived for `service`; assigns roles anew if its engines are to be divided
// or joined.
void record_prompt(site_view& v, const std::string& service, std::uint32_t tokens,
                   const dispatch::role_settings& s);
// Applies a list of software versions unless a newer one was applied.
void apply_software(site_view& v, const rpc::software_versions& list);
// Merges an announcement and applies what follows from it: an upstream that lost its id or address
// to another one is withdrawn. Upstreams whose service is not deployed get no requests, since no
// route leads to them, but requests that run there go on. True if the view changed.
bool apply_announcement(site_view& v, const schema::upstream_announcement& a, time_point now);
// Applies the services of the deployment in force; to be called when it has changed. True if the
// view of upstreams changed.
bool apply_services(site_view& v, time_point now);

}  // namespace burdockdeck::gateway
