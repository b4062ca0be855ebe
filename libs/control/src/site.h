// The site as one control instance knows it: announced upstreams, the gateways that watch, and the
// other instances to pass announcements on to. Belongs to the control loop.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "control/site_protocol.h"
#include "deployment_history.h"
#include "instance.h"
#include "placement/moves.h"
#include "registry/registry.h"
#include "watcher.h"

namespace burdockdeck::control {

// `known()` of the stream is the number of the registry's last change that was sent.
using site_watcher = update_stream<rpc::site_update>;

struct gateway_watch {
    std::string name;
    // The version that it was told last.
    std::uint64_t told_version = 0;
    bool parting_known = true;
};

// Demand of a model, apart for long and short prompts.
struct planned_kind {
    std::string model;
    bool long_prompts = false;

    bool operator<(const planned_kind& other) const {
        return std::tie(model, long_prompts) < std::tie(other.model, other.long_prompts);
    }
};

struct demand_record {
    rpc::demand_report latest;
    time_point heard{};
};

// A connection to another instance, left and opened anew after each failure.
struct peer_link {
    std::shared_ptr<rpc::control_peer::Stub> stub;
    // Nothing is relayed before this time; other calls open it at once.
    time_point retry_at{};
    bool lost = false;
};

struct site_state {
    site_protocol protocol;
    std::vector<settings::endpoint> seeds;
    registry::registry upstreams;
    std::map<std::shared_ptr<site_watcher>, gateway_watch> watchers;
    // Other control instances, by address.
    std::map<std::string, peer_link> peers;
    std::vector<schema::upstream_announcement> to_relay;
    bool relay_scheduled = false;
    // What gateways last reported, by name.
    std::map<std::string, demand_record> demand;
    deployment_history history;
    // Decoded from the deployment in force.
    deployment::site current;

    // --- Of the planner
    // Share of engines that each model needs, smoothed, and models that requests found nowhere.
    std::map<planned_kind, double> smoothed;
    // Prompt tokens read in a millisecond, as gateways learnt it.
    std::map<std::string, double> speeds;
    std::set<planned_kind> unplaced;
    // When gateways first reported any; the zero time before.
    time_point demand_since{};
    placement::move_planner_state moves;
    // Engines and models about to be unloaded, with the time until which gateways are told.
    std::map<std::pair<std::string, std::string>, time_point> parting;
    // By address.
    std::map<std::string, std::shared_ptr<rpc::sidecar::Stub>> sidecars;
};

// Starts joining, relaying and the upkeep of watches.
void start_site(instance& i);
void end_site_watches(instance& i);

// --- Announcements

// Takes an announcement in and passes it on at once if it changes anything.
void take_announcement(instance& i, const schema::upstream_announcement& a, bool relayed);
// All that is known here, departures included.
[[nodiscard]] rpc::announcement_relay all_announcements(const instance& i);

// --- Watches

void open_site_watch(instance& i, std::shared_ptr<site_watcher> w,
                     const rpc::watch_site_request& request);
// Sends each watcher what it does not know yet.
void update_site_watchers(instance& i);
// What a gateway that has the text of `known_version` needs for the deployment in force.
[[nodiscard]] rpc::fetch_deployment_reply answer_fetch(instance& i, std::uint64_t known_version);

// --- Placement

// Plans loads and unloads while this instance leads.
void start_planning(instance& i);

// --- Membership

// Founds or joins the cluster, and comes back when this instance was swapped out.
void start_joining(instance& i);
// Takes up another instance's request to join, if this one leads.
[[nodiscard]] rpc::join_reply answer_join(instance& i, const rpc::join_request& request);
// Swaps lost voters for learners that have caught up. Leader only.
void repair_members(instance& i);
// The address at which `seed` takes calls from other instances.
[[nodiscard]] std::string rpc_address(const instance& i, const settings::endpoint& seed);
// A connection to another instance's peer service.
[[nodiscard]] std::shared_ptr<rpc::control_peer::Stub> peer_stub(instance& i,
                                                                 const std::string& address);

}  // namespace burdockdeck::control
