// Founds a cluster, and proposes changes of its members.
#include "raft_host.h"
#include "runtime/log.h"
#include "runtime/trace.h"

namespace burdockdeck::control {

using runtime::event;
using runtime::log_event;
using runtime::severity;

result<nothing, std::string> raft_host::found(const rpc::found_request& request) {
    if (node_) {
        return "this instance belongs to cluster " + store_->identity().cluster() + " already";
    }
    schema::configuration members;
    bool includes_self = false;
    for (const schema::control_member& m : request.members()) {
        *members.add_voters() = m;
        includes_self = includes_self || m.id() == store_->identity().node_id();
    }
    if (!includes_self || request.environment().empty()) {
        return std::string("the members must name this instance, and the environment must be set");
    }
    schema::catalog_state first;
    first.set_environment(request.environment());
    return found_with(runtime::random_hex(16), members, store_->identity().node_id(), first);
}

result<nothing, std::string> raft_host::found_from_seeds(const std::string& cluster,
                                                         const schema::configuration& members,
                                                         consensus::node_id self) {
    return found_with(cluster, members, self, {});
}

result<nothing, std::string> raft_host::found_with(const std::string& cluster,
                                                   const schema::configuration& members,
                                                   consensus::node_id self,
                                                   const schema::catalog_state& state) {
    schema::snapshot first;
    first.set_index(1);
    first.set_term(1);
    *first.mutable_members() = members;
    first.set_state(state.SerializeAsString());
    schema::hard_state hard_state;
    hard_state.set_term(1);
    // The snapshot takes effect only once the identity names a cluster, so a crash between the two
    // writes leaves no half-founded cluster.
    auto saved = store_->save_snapshot(first, hard_state, {});
    if (!succeeded(saved)) {
        return error(saved).message;
    }
    auto joined = store_->found_cluster(cluster, self);
    if (!succeeded(joined)) {
        return error(joined).message;
    }
    storage::contents found;
    found.hard = hard_state;
    found.snapshot = first;
    start_node(found);
    log_event(severity::info, event::cluster_founded,
              {{"cluster", cluster}, {"environment", state.environment()}});
    return nothing{};
}

result<nothing, consensus::change_error> raft_host::add_learner(
    const schema::control_member& member) {
    auto added = consensus::add_learner(*node_, member);
    proposals_pending_ = true;
    schedule_round();
    return added;
}

result<nothing, consensus::change_error> raft_host::replace_voter(consensus::node_id lost,
                                                                  consensus::node_id replacement) {
    auto replaced = consensus::replace_voter(*node_, lost, replacement);
    proposals_pending_ = true;
    schedule_round();
    return replaced;
}

result<nothing, consensus::change_error> raft_host::remove_learner(consensus::node_id id) {
    auto removed = consensus::remove_learner(*node_, id);
    proposals_pending_ = true;
    schedule_round();
    return removed;
}

result<nothing, consensus::change_error> raft_host::promote_learner(consensus::node_id id) {
    auto promoted = consensus::promote_learner(*node_, id);
    proposals_pending_ = true;
    schedule_round();
    return promoted;
}

}  // namespace burdockdeck::control
