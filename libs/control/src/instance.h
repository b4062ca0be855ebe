// What the services of one control instance share. Everything here belongs to the control loop.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "control/settings.h"
#include "fleet.h"
#include "raft_host.h"
#include "runtime/loop.h"
#include "runtime/metrics.h"
#include "runtime/rpc.h"
#include "services.grpc.pb.h"

namespace burdockdeck::control {

template <class Update>
class update_stream;
using watcher = update_stream<schema::table_update>;

struct site_state;

struct instance {
    instance(const control_settings& s, runtime::rpc_access a)
        : settings(s), access(std::move(a)), loop("control") {}

    control_settings settings;
    runtime::rpc_access access;
    runtime::metrics metrics;
    runtime::loop loop;
    std::unique_ptr<raft_host> raft;
    fleet leader_fleet;
    std::set<std::shared_ptr<watcher>> watchers;
    // Connections to other instances, for what is passed on to the leader.
    std::map<std::string, std::shared_ptr<rpc::control::Stub>> leader_stubs;
    // The answer to the founding of this cluster, for a resent request.
    std::string founding_operation;
    time_point isolated_since{};
    // Set where the settings have a `site`.
    std::shared_ptr<site_state> site;
    bool replacing = false;
    bool stopping = false;
};

// A call to the leader for what this instance cannot answer; null if no leader is known.
[[nodiscard]] std::shared_ptr<rpc::control::Stub> leader_stub(instance& i);

// --- Periodic work on the control loop

// Leases, shares, permits, placement: the duties of a leader, and the upkeep of every instance.
void start_duties(instance& i);
// Sends what is new to each watcher.
void update_watchers(instance& i);
// Ends all watches, so that subscribers go elsewhere.
void end_watches(instance& i, const std::string& why);

}  // namespace burdockdeck::control
