// The leader's in-memory view of the fleet and the decisions based on it: leases, expiry, shares of
// fleet-wide limits, permits for the weight store, placement. Grants are stored in the catalog; a
// new leader restarts all leases, so that none ends early.
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
    // than an ordinary outage of control, so that adapters are served throughout.
    duration share_lease = std::chrono::seconds(60);
    // Allowance for clock drift: added to the lease before a silent holder's share is granted to
    // others.
    duration share_drift = std::chrono::seconds(2);
    // A load order must be completed or renewed within this time.
    duration permit_lease = std::chrono::seconds(30);
    // The demand of a subscriber whose last renewal is older than this is ignored.
    duration subscriber_timeout = std::chrono::seconds(10);
    placement::plan_settings plan;
};

struct agent_lease {
    std::uint64_t incarnation = 0;
    time_point renewed{};
    // The highest share that the holder may be using: the one that it last reported, or a higher
    // one granted in an answer since.
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

// Decision on a request to load from the weight store.
enum class permit_decision { granted, propose, wait };

struct permit_answer {
    permit_decision decision = permit_decision::wait;
    // Delay before the next request, for `wait`.
    duration retry_after{};
};

struct fleet {
    fleet_settings settings;
    time_point leading_since{};
    std::map<std::string, agent_lease> leases;
    std::map<std::string, subscriber> subscribers;
    // Expiry time of each permit in the catalog.
    std::map<std::string, time_point> permit_expiry;
    // Loads that may start now under the weight store's rate limit (token bucket; at most 1).
    double load_credit = 0.0;
    time_point credit_refilled{};
    placement::planner_state planner;
    // The latest placement decisions by model, newest last.
    std::map<std::string, std::deque<std::string>> decisions;
    // Log of repairs and changes for operators, newest last.
    std::deque<std::string> events;
};

// --- Queries

// Agents whose lease has expired.
[[nodiscard]] std::vector<schema::expire_command> expired_agents(const fleet& f,
                                                                 const schema::catalog_state& state,
                                                                 time_point now);
// The live engines in the form that the planner takes.
[[nodiscard]] std::vector<placement::agent_view> agent_views(const schema::catalog_state& state);
// Load of each model as the number of replicas it keeps busy, from the entries' reports.
[[nodiscard]] placement::demand_by_model demand_of(const fleet& f,
                                                   const schema::catalog_state& state,
                                                   time_point now);
// Changes of adapter shares to propose now. The sum of all shares never exceeds the limit.
[[nodiscard]] std::vector<schema::share_command> share_changes(const fleet& f,
                                                               const schema::catalog_state& state,
                                                               time_point now);

// --- Commands

// Resets the state for a new term of leadership: every live agent gets a full lease, and the load
// credit starts at zero.
void begin_leading(fleet& f, const schema::catalog_state& state, time_point now);
[[nodiscard]] rpc::renew_reply renew(fleet& f, const schema::catalog_state& state,
                                     const rpc::renew_request& request, time_point now);
// Decides on a permit by the weight store's rate limit; the catalog enforces the limit on
// concurrent loads.
[[nodiscard]] permit_answer decide_permit(fleet& f, const schema::catalog_state& state,
                                          const std::string& order_id, time_point now);
// Commands that release expired permits. Starts the lease of permits not seen before.
[[nodiscard]] std::vector<schema::permit_command> expired_permits(
    fleet& f, const schema::catalog_state& state, time_point now);
// Plans the next assignments and records the planner's decisions. An empty command means no change.
[[nodiscard]] schema::assign_command plan_assignments(fleet& f, const schema::catalog_state& state,
                                                      time_point now);
void record_event(fleet& f, std::string text);

}  // namespace burdockdeck::control
