// Membership changes by joint consensus.
#include "node_parts.h"

namespace burdockdeck::consensus {

namespace {

std::optional<change_error> change_refusal(const node& n) {
    if (n.current_role != role::leader) {
        return change_error::not_leader;
    }
    const configuration_at& current = n.configurations.back();
    const bool settled = current.index <= n.commit && current.members.outgoing().empty();
    // A leader must commit an entry of its own term before it may change the members.
    if (!settled || n.commit < n.term_start) {
        return change_error::change_in_progress;
    }
    return std::nullopt;
}

}  // namespace

bool change_complete(const node& n, node_id id) {
    const configuration_at& current = n.configurations.back();
    if (n.current_role != role::leader || !current.members.outgoing().empty()) {
        return false;
    }
    const auto peer = n.peers.find(id);
    const bool stored =
        id == n.id || (peer != n.peers.end() && peer->second.match >= current.index);
    return current.index <= n.commit && stored && contains(current.members.voters(), id);
}

result<nothing, change_error> add_learner(node& n, const control_member& member) {
    if (const auto refusal = change_refusal(n)) {
        return *refusal;
    }
    if (all_member_ids(members_of(n)).contains(member.id())) {
        return nothing{};
    }
    configuration members = members_of(n);
    *members.add_learners() = member;
    append_entry(n, schema::entry_configuration, members.SerializeAsString());
    return nothing{};
}

result<nothing, change_error> replace_voter(node& n, node_id lost, node_id replacement) {
    if (const auto refusal = change_refusal(n)) {
        return *refusal;
    }
    const configuration& current = members_of(n);
    if (!contains(current.voters(), lost) || !contains(current.learners(), replacement)) {
        return change_error::unknown_member;
    }
    const auto peer = n.peers.find(replacement);
    if (peer == n.peers.end() || peer->second.match < n.commit) {
        return change_error::learner_behind;
    }
    configuration joint;
    *joint.mutable_outgoing() = current.voters();
    for (const control_member& m : current.voters()) {
        if (m.id() != lost) {
            *joint.add_voters() = m;
        }
    }
    for (const control_member& m : current.learners()) {
        *(m.id() == replacement ? joint.add_voters() : joint.add_learners()) = m;
    }
    append_entry(n, schema::entry_configuration, joint.SerializeAsString());
    return nothing{};
}

result<nothing, change_error> promote_learner(node& n, node_id id) {
    if (const auto refusal = change_refusal(n)) {
        return *refusal;
    }
    const configuration& current = members_of(n);
    if (!contains(current.learners(), id)) {
        return change_error::unknown_member;
    }
    const auto peer = n.peers.find(id);
    if (peer == n.peers.end() || peer->second.match < n.commit) {
        return change_error::learner_behind;
    }
    configuration joint;
    *joint.mutable_outgoing() = current.voters();
    *joint.mutable_voters() = current.voters();
    for (const control_member& m : current.learners()) {
        *(m.id() == id ? joint.add_voters() : joint.add_learners()) = m;
    }
    append_entry(n, schema::entry_configuration, joint.SerializeAsString());
    return nothing{};
}

result<nothing, change_error> remove_learner(node& n, node_id id) {
    if (const auto refusal = change_refusal(n)) {
        return *refusal;
    }
    configuration members = members_of(n);
    const int before = members.learners_size();
    members.clear_learners();
    for (const control_member& m : members_of(n).learners()) {
        if (m.id() != id) {
            *members.add_learners() = m;
        }
    }
    if (members.learners_size() == before) {
        return change_error::unknown_member;
    }
    append_entry(n, schema::entry_configuration, members.SerializeAsString());
    return nothing{};
}

}  // namespace burdockdeck::consensus
