// Internal functions shared by the source files of the consensus library.
#pragma once

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "consensus/node.h"

namespace burdockdeck::consensus {

using schema::append_reply;
using schema::append_request;
using schema::configuration;
using schema::control_member;
using schema::log_entry;
using schema::raft_message;

template <class Members>
bool contains(const Members& members, node_id id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const control_member& m) { return m.id() == id; });
}

template <class Members, class Predicate>
bool majority(const Members& members, Predicate agrees) {
    const auto count = std::count_if(members.begin(), members.end(),
                                     [&](const control_member& m) { return agrees(m.id()); });
    return 2 * count > members.size();
}

// True if `agrees` holds for a majority of the voters and, in a joint configuration, also for a
// majority of the outgoing voters.
template <class Predicate>
bool quorum(const configuration& members, Predicate agrees) {
    if (!majority(members.voters(), agrees)) {
        return false;
    }
    return members.outgoing().empty() || majority(members.outgoing(), agrees);
}

// --- The log and the term

[[nodiscard]] std::set<node_id> all_member_ids(const configuration& members);
[[nodiscard]] const log_entry* entry_at(const node& n, log_index index);
[[nodiscard]] std::optional<term_number> term_at(const node& n, log_index index);
[[nodiscard]] term_number last_term(const node& n);
[[nodiscard]] raft_message message_to(const node& n, node_id to, schema::raft_message_kind kind);
void save_hard_state(node& n);
void reset_election_deadline(node& n, time_point now, std::mt19937_64& rng);
void become_follower(node& n, term_number term, node_id leader, time_point now,
                     std::mt19937_64& rng);

// --- Replication

void record_configuration(node& n, const log_entry& e);
// Makes `peers` match the current configuration; replication to a new peer starts at the log's end.
void update_peers(node& n, time_point now);
void append_entry(node& n, schema::entry_kind kind, std::string data);
void broadcast(node& n, time_point now);
void release_reads(node& n);
// Commits entries that a quorum has stored. As in Raft, counts only entries of the current term.
void advance_commit(node& n, time_point now);
void reject_append(node& n, const raft_message& m, log_index hint, time_point now);
void on_append_request(node& n, const raft_message& m, time_point now);
void on_append_reply(node& n, const raft_message& m, time_point now);
void on_snapshot_request(node& n, const raft_message& m, time_point now);

// --- Freshness, by echoed timestamps

// Set the send time in `m` and echo the receiver's timestamp: in a leader's message to a peer, and
// in the reply to `request`.
void stamp(const node& n, raft_message& m, const peer_progress& to, time_point now);
void stamp_reply(const node& n, raft_message& m, const raft_message& request, time_point now);
// Process the timestamps in a message from the leader, and in a reply to the leader. A reply
// confirms reads if it answers a message that this node sent since it became leader.
void record_leader_confirmation(node& n, const raft_message& m, time_point now);
void record_reply(const node& n, peer_progress& from, const raft_message& m, time_point now);

// --- Elections

void start_pre_vote(node& n, time_point now, std::mt19937_64& rng);
void on_pre_vote_request(node& n, const raft_message& m, time_point now);
void on_vote_request(node& n, const raft_message& m, time_point now, std::mt19937_64& rng);
void on_pre_vote_reply(node& n, const raft_message& m, time_point now);
void on_vote_reply(node& n, const raft_message& m, time_point now);

}  // namespace burdockdeck::consensus
