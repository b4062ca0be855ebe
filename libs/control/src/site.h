// State of the site at one control instance: announced upstreams, watching gateways, and the other
// instances that announcements are relayed to. Accessed on the control loop only.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "control/site_protocol.h"
#include "departures.h"
#include "deployment_history.h"
#include "instance.h"
#include "placement/moves.h"
#include "quarantine/quarantine.h"
#include "ratelimit/permits.h"
#include "registry/registry.h"
#include "software.h"
#include "update_pacing.h"
#include "watcher.h"

namespace burdockdeck::control {

// The stream's `known()` is the number of the last registry change that was sent on it.
using site_watcher = update_stream<rpc::site_update>;

struct gateway_watch {
    std::string name;
    // The deployment version in the last update sent.
    std::uint64_t sent_version = 0;
    // False while `pending_unloads` or `expected_models` has changed since the last update sent.
    bool placement_sent = true;
    // The revision of `site_state::crashes` in the last update sent.
    std::uint64_t sent_crashes = 0;
    // The revision of the list of software versions in the last update sent; empty before the
    // first.
    std::optional<std::uint64_t> sent_software;
};

// Demand is recorded per model, separately for long and short prompts.
struct demand_key {
    std::string model;
    bool long_prompts = false;

    bool operator<(const demand_key& other) const {
        return std::tie(model, long_prompts) < std::tie(other.model, other.long_prompts);
    }
};

// Sums over recent requests; older ones count less and less.
struct request_costs {
    double engine_ms = 0;
    double requests = 0;
};

struct demand_record {
    rpc::demand_report latest;
    time_point received_at{};
};

// A connection to another instance. It is dropped after each failure and reopened on the next call.
struct peer_link {
    std::shared_ptr<rpc::control_peer::Stub> stub;
    // No announcement is relayed before this time; other calls may open the connection earlier.
    time_point retry_at{};
    bool lost = false;
};

struct site_state {
    site_protocol protocol;
    std::vector<settings::endpoint> seeds;
    registry::registry upstreams;
    std::map<std::shared_ptr<site_watcher>, gateway_watch> watchers;
    // Watchers get registry changes up to `urgent_changes` and crash news up to `urgent_crashes` at
    // once, later ones with the next update.
    std::uint64_t urgent_changes = 0;
    std::uint64_t urgent_crashes = 0;
    bool model_update_scheduled = false;
    update_pacing pacing;
    // Other control instances, by address.
    std::map<std::string, peer_link> peers;
    std::vector<schema::upstream_announcement> to_relay;
    bool relay_scheduled = false;
    // What gateways reported of crashes; passed on to all gateways.
    quarantine::table crashes;
    bool crash_update_scheduled = false;
    // Used while this instance leads.
    software_review software;
    ratelimit::ledger permits;
    // The latest report of each gateway, by name.
    std::map<std::string, demand_record> demand;
    deployment_history history;
    // The deployment in force, decoded, and when that was done last.
    deployment::site current;
    time_point decoded_at{};

    // Members that are about to stop, as they told this instance while it led.
    departures leaving;

    // --- State of the planner
    // Number of engines that each model needs, smoothed over time.
    std::map<demand_key, double> smoothed_demand;
    // Prompt tokens read per millisecond by model, as measured by gateways.
    std::map<std::string, double> speeds;
    // Processing time of recent requests, for short prompts and for long ones.
    request_costs short_prompt_costs;
    request_costs long_prompt_costs;
    // Models that were requested while no engine held them.
    std::set<demand_key> unplaced;
    // When gateways first reported demand; the zero time until then.
    time_point demand_since{};
    placement::move_planner_state moves;
    // Models about to be unloaded, by engine and model, with the time until which updates to
    // gateways contain the notice.
    std::map<std::pair<std::string, std::string>, time_point> pending_unloads;
    // When models that no engine holds are expected to be loaded, by model.
    std::map<std::string, time_point> expected_models;
    // By address.
    std::map<std::string, std::shared_ptr<rpc::sidecar::Stub>> sidecars;
};

// Starts joining, planning, relaying and the maintenance of watches.
void start_site(instance& i);
void end_site_watches(instance& i);

// Decodes the deployment in force if it has changed, unless that was done a moment ago, and tells
// others of the upstreams that it makes active.
void refresh_deployment(instance& i, time_point now);

// --- Announcements

// Merges an announcement into the registry. Unless `relayed`, passes it on to the other instances:
// at once if it changes the registry, batched otherwise.
void merge_announcement(instance& i, const schema::upstream_announcement& a, bool relayed);
// Treats the upstreams that a gateway reports as leaving as draining.
void withdraw_leaving(instance& i, const rpc::demand_report& report);
// Announcements that other instances may need, including those of upstreams that have left.
[[nodiscard]] rpc::announcement_relay all_announcements(const instance& i);

// --- Watches

void open_site_watch(instance& i, std::shared_ptr<site_watcher> w,
                     const rpc::watch_site_request& request);
// Sends an update to each watcher that lacks something urgent, now or after a pause that bounds the
// share of the loop that updates take.
void update_site_watchers(instance& i);
void update_site_watcher(instance& i, const std::shared_ptr<site_watcher>& w);
// Returns a patch to the deployment in force, from the text of `known_version` if it is kept here,
// otherwise from the empty text.
[[nodiscard]] rpc::fetch_deployment_reply answer_fetch(instance& i, std::uint64_t known_version);

// --- Crashes

// Merges a gateway's crash news and passes on what is new to the watchers.
void merge_crash_report(instance& i, const rpc::crash_report& report);

// --- Placement

// Plans loads and unloads while this instance is the leader.
void start_planning(instance& i);

// --- Membership

// Founds or joins the cluster, and rejoins after this instance was replaced.
void start_joining(instance& i);
// Adds the requesting instance as a learner if this instance is the leader. Always returns the
// members' addresses.
[[nodiscard]] rpc::join_reply answer_join(instance& i, const rpc::join_request& request);
// Replaces lost and departing voters by learners that have caught up, and removes silent learners.
// Leader only.
void repair_members(instance& i);
// The leader's part of a planned stop of the member `id`; true if that may stop now. False if this
// instance does not lead.
[[nodiscard]] bool answer_leave(instance& i, consensus::node_id id);
// Waits until this instance has passed its vote on to a learner, if one can take it, for as long as
// the settings allow.
boost::asio::awaitable<void> hand_over_vote(instance& i);
// The address at which `seed` accepts calls from other instances.
[[nodiscard]] std::string rpc_address(const instance& i, const settings::endpoint& seed);
// Returns the connection to another instance's peer service; opens it if there is none.
[[nodiscard]] std::shared_ptr<rpc::control_peer::Stub> peer_stub(instance& i,
                                                                 const std::string& address);

}  // namespace burdockdeck::control
