// What a leader keeps in memory of the fleet, and what it decides from it: leases, expiry, shares
// of fleet-wide limits, permits for the weight store, placement. What was granted stands in the
// catalog; a new leader starts its leases anew, so none ends early.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "catalog.pb.h"
#include "placement/plan.h"
#include "services.pb.h"

namespace burdockdeck::control {

struct fleet_settings {
    duration agent_lease = std::chrono::seconds(5);
    // A holder may use its share for this long after it sent a renewal that was granted. Longer
    // than an ordinary absence of control, so that adapters are served through it.
    duration share_lease = std::chrono::seconds(60);
    // Added before the share of a silent holder is granted to others: drift of its clock.
    duration share_drift = std::chrono::seconds(2);
    // A load order must end, or be renewed, within this time.
    duration permit_lease = std::chrono::seconds(30);
    // Renewals of subscribers older than this are taken as gone.
    duration subscriber_timeout = std::chrono::seconds(10);
    placement::plan_settings plan;
};

struct agent_lease {
    std::uint64_t incarnation = 0;
    time_point renewed{};
    // The highest share that the holder may be keeping to: what it said, or was told since.
    std::uint32_t share_in_force = 0;
    std::uint32_t adapters_wanted = 0;
    std::uint64_t sequence = 0;
};

struct subscriber {
    std::uint64_t revision_in_force = 0;
    time_point seen{};
    // Mean requests in flight by model.
    std::map<std::string, double> in_flight;
};

// What to do with a request for a load from the weight store.
enum class permit_decision { granted, propose, wait };

struct permit_answer {
    permit_decision decision = permit_decision::wait;
    // When to ask again.
    duration retry_after{};
};

struct fleet {
    fleet_settings settings;
    time_point leading_since{};
    std::map<std::string, agent_lease> leases;
    std::map<std::string, subscriber> subscribers;
    // When each permit in the catalog runs out.
    std::map<std::string, time_point> permit_expiry;
    // Loads that may start now by the weight store's rate.
    double load_credit = 0.0;
    time_point credited{};
    placement::planner_state planner;
    // The latest decisions on each model, newest last.
    std::map<std::string, std::deque<std::string>> decisions;
    // Repairs and changes, newest last.
    std::deque<std::string> events;
};

// --- Queries

// Agents whose lease has run out.
[[nodiscard]] std::vector<schema::expire_command> expired_agents(const fleet& f,
                                                                 const schema::catalog_state& state,
                                                                 time_point now);
// The fleet's engines as the planner sees them.
[[nodiscard]] std::vector<placement::agent_view> agent_views(const schema::catalog_state& state);
// Load of each model in replicas kept busy, from the entries' reports.
[[nodiscard]] placement::demand_by_model demand_of(const fleet& f,
                                                   const schema::catalog_state& state,
                                                   time_point now);
// Changes of adapter shares to propose now. Their sum never exceeds the limit.
[[nodiscard]] std::vector<schema::share_command> share_changes(const fleet& f,
                                                               const schema::catalog_state& state,
                                                               time_point now);

// --- Commands

// Starts leading: every live agent gets a full lease, and the weight store's rate starts at zero.
void begin_leading(fleet& f, const schema::catalog_state& state, time_point now);
[[nodiscard]] rpc::renew_reply renew(fleet& f, const schema::catalog_state& state,
                                     const rpc::renew_request& request, time_point now);
// Decides on a permit by the weight store's rate; the catalog guards the number at once.
[[nodiscard]] permit_answer decide_permit(fleet& f, const schema::catalog_state& state,
                                          const std::string& order_id, time_point now);
// Permits that have run out, to be released. Starts the lease of those not seen before.
[[nodiscard]] std::vector<schema::permit_command> expired_permits(
    fleet& f, const schema::catalog_state& state, time_point now);
// The next assignments, if any, with their reasons noted. An empty command means no change.
[[nodiscard]] schema::assign_command plan_assignments(fleet& f, const schema::catalog_state& state,
                                                      time_point now);
void note_event(fleet& f, std::string text);

}  // namespace burdockdeck::control
