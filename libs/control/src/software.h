// The software versions at which streams may have been begun, in the replicated state. The leader
// adds a version when an upstream announces it, so that gateways may begin streams there, and
// removes it long after the last announcement. Accessed on the control loop only.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "catalog.pb.h"
#include "registry/registry.h"
#include "services.pb.h"

namespace burdockdeck::control {

struct instance;

// A version is removed when no upstream has announced it for this long, which is longer than any
// stream that was begun there can be taken up.
inline constexpr duration software_retention = std::chrono::minutes(15);
// A leader that did not review the list for this long has not seen the announcements meanwhile.
inline constexpr duration max_software_review_gap = std::chrono::seconds(5);

using software_key = std::pair<std::string, std::string>;

// What a leader knows of the versions of services; empty at an instance that does not lead.
struct software_review {
    // When an upstream of the version was last known, by service and version.
    std::map<software_key, time_point> seen;
    time_point reviewed_at{};
    // Versions whose addition has been proposed and is not decided.
    std::set<software_key> proposed;
};

// --- Queries

[[nodiscard]] bool is_listed(const schema::catalog_state& state, const software_key& key);
[[nodiscard]] rpc::software_versions software_of(const schema::catalog_state& state);

// --- Commands

// Changes of the list to propose now. A version is kept for the whole retention under a new leader,
// and under one that has stood still.
[[nodiscard]] std::vector<schema::software_version_command> review_software(
    const schema::catalog_state& state, const registry::registry& upstreams,
    software_review& review, time_point now);
// Proposes these changes if this instance leads.
void maintain_software(instance& i, time_point now);
// Proposes the version of an announced upstream if this instance leads and the list lacks it.
void add_software(instance& i, const schema::upstream_announcement& a);
// Answers a read of the list once this instance knows all changes committed before the call.
void read_software(instance& i, std::function<void(rpc::read_software_reply)> done);

}  // namespace burdockdeck::control
