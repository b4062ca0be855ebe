// What an instance without a data folder knows of the members, the instances with one. It stores
// nothing and takes no part in consensus; it tells gateways and joining instances where the members
// are, and redirects operators and upstreams to them.
#pragma once

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "services.pb.h"
#include "settings/common.h"

namespace burdockdeck::control {

struct instance;

// All addresses are those for calls between instances.
struct directory {
    std::vector<settings::endpoint> seeds;
    std::set<std::string> members;
    // The members that the leader, or else another member, last reported as running.
    std::vector<std::string> responsive;
    // Empty if unknown.
    std::string leader;
    // When a member last reported; the zero time before the first report.
    time_point confirmed_at{};
    std::mt19937_64 rng{std::random_device{}()};
};

// Calls are redirected by reports up to this age.
inline constexpr duration max_report_age = std::chrono::seconds(3);

enum class redirect_kind { to_leader, to_any_member };

// --- Decisions

// The member that a call is redirected to; empty if no member has reported recently.
[[nodiscard]] std::optional<std::string> redirect_target(directory& d, redirect_kind kind,
                                                         time_point now);
// The instances to ask for the members: the leader if it is known, else all members and seeds.
[[nodiscard]] std::set<std::string> instances_to_ask(const directory& d,
                                                     const std::set<std::string>& seeds,
                                                     time_point now);
// Applies a report. Only the leader's replaces the members; one of another member may come from an
// instance that was removed long ago. True if the members or the leader changed.
bool record_report(directory& d, const rpc::member_list& report, time_point now);

// --- At a member

// The report that this instance gives of the members.
[[nodiscard]] rpc::member_list report_members(const instance& i);
// Reports the members to those seeds that are no members, at intervals.
void start_reporting_to_seeds(instance& i);

// --- At an instance without a data folder

// Keeps the directory up to date.
void start_directory(instance& i);
[[nodiscard]] rpc::member_list report_known_members(const instance& i);

}  // namespace burdockdeck::control
