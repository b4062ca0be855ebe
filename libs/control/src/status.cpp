// Fills answers from the catalog, the consensus node and the leader's fleet state.
#include "status.h"

#include <algorithm>

#include "document/document.h"
#include "runtime/clock.h"

namespace burdockdeck::control {

namespace {

bool holds(const google::protobuf::RepeatedPtrField<schema::model_instance>& list,
           const std::string& model) {
    return std::any_of(list.begin(), list.end(),
                       [&](const schema::model_instance& m) { return m.model() == model; });
}

void explain_model(const schema::model& m, const instance& i, rpc::explain_reply& reply) {
    const auto demand = demand_of(i.leader_fleet, i.raft->state(), runtime::boot_now());
    const auto load = demand.find(m.name());
    const double replicas = load == demand.end() ? 0.0 : load->second;
    reply.add_lines("declared: version " + m.version() + ", " +
                    std::to_string(document::footprint_mb(m)) + " MB a replica, " +
                    std::to_string(m.min_replicas()) + " to " + std::to_string(m.max_replicas()) +
                    " replicas");
    reply.add_lines(
        "demand: " + std::to_string(replicas) + " replicas kept busy, wanted: " +
        std::to_string(placement::wanted_replicas(m, replicas, i.leader_fleet.settings.plan)));
}

}  // namespace

void fill_status(const instance& i, rpc::status_reply& reply) {
    reply.set_answered_by(i.settings.name);
    reply.set_cluster(i.raft->identity().cluster());
    reply.set_isolated(i.raft->isolated());
    const consensus::node* node = i.raft->node();
    if (node == nullptr) {
        return;
    }
    const schema::catalog_state& state = i.raft->state();
    reply.set_environment(state.environment());
    reply.set_leader_id(node->leader);
    reply.set_leader_name(i.raft->leader_name());
    reply.set_term(node->term);
    reply.set_commit(node->commit);
    reply.set_applied(node->last_delivered);
    reply.set_revision(state.revision());
    *reply.mutable_members() = consensus::members_of(*node);
    *reply.mutable_current() = state.current();
    reply.set_claims(static_cast<std::uint32_t>(state.claims().size()));
    for (const auto& [name, record] : state.agents()) {
        *reply.add_agents() = record;
    }
    const time_point now = runtime::boot_now();
    for (const auto& [name, s] : i.leader_fleet.subscribers) {
        rpc::subscriber_status& out = *reply.add_subscribers();
        out.set_name(name);
        out.set_revision_in_force(s.revision_in_force);
        out.set_seen_ms_ago(static_cast<std::uint64_t>(to_milliseconds(now - s.seen)));
    }
    for (const std::string& e : i.leader_fleet.events) {
        reply.add_events(e);
    }
}

void fill_explain(const instance& i, const std::string& model, rpc::explain_reply& reply) {
    const schema::catalog_state& state = i.raft->state();
    const schema::model* m = document::find_model(state.current().document(), model);
    if (m == nullptr) {
        reply.add_lines("model `" + model + "` is not declared in the document in force");
    } else {
        explain_model(*m, i, reply);
    }
    for (const auto& [name, record] : state.agents()) {
        const bool assigned = holds(record.assigned(), model);
        const bool resident = holds(record.resident(), model);
        if (assigned || resident) {
            reply.add_lines("agent " + name + " (" + record.registration().failure_domain() +
                            "): " + (assigned ? "assigned" : "to be unloaded") + ", " +
                            (resident ? "serves" : "not loaded yet"));
        }
    }
    const auto decisions = i.leader_fleet.decisions.find(model);
    if (decisions == i.leader_fleet.decisions.end()) {
        reply.add_lines("no decision by this leader yet");
        return;
    }
    for (const std::string& d : decisions->second) {
        reply.add_lines("decision: " + d);
    }
}

}  // namespace burdockdeck::control
