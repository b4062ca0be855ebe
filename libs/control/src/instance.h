// State shared by the services of one control instance. Accessed on the control loop only.
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

struct directory;
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
    // Connections for calls forwarded to the leader, by address.
    std::map<std::string, std::shared_ptr<rpc::control::Stub>> leader_stubs;
    // Operation id of the request that founded this cluster, to recognise a resent request.
    std::string founding_operation;
    time_point isolated_since{};
    // Set if the settings have a `site`.
    std::shared_ptr<site_state> site;
    // Set if the settings have a `site` but no data folder; `raft` and `site` are then null.
    std::shared_ptr<directory> members;
    bool replacing = false;
    bool stopping = false;
};

// The connection to the leader, for calls to be forwarded. Null if this instance is the leader or
// no leader is known.
[[nodiscard]] std::shared_ptr<rpc::control::Stub> leader_stub(instance& i);

// --- Periodic work on the control loop

// Starts the leader's tasks (leases, shares, permits, placement) and those of every instance
// (isolation check, heartbeats to watchers).
void start_periodic_tasks(instance& i);
// Sends an update to each watcher that is out of date.
void update_watchers(instance& i);
// Ends all watches, so that subscribers reconnect to another instance.
void end_watches(instance& i, const std::string& reason);

}  // namespace burdockdeck::control
