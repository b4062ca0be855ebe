// The replicated log as a pure machine: messages, ticks and proposals go in, outputs come out.
// It reads no clock, no file and no socket. The host stores `outputs` in the order of its members:
// hard state and entries (or the snapshot) reach the disk first, messages are sent after that, and
// committed entries are applied last. Votes and acknowledgements are safe only in that order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "consensus.pb.h"

namespace burdockdeck::consensus {

using node_id = std::uint64_t;
using log_index = std::uint64_t;
using term_number = std::uint64_t;

// Intervals of one node. Valid: heartbeat * 3 <= election_min < election_max.
struct timing {
    duration heartbeat = std::chrono::milliseconds(60);
    duration election_min = std::chrono::milliseconds(350);
    duration election_max = std::chrono::milliseconds(700);
    // A snapshot is not sent again to the same peer within this time.
    duration snapshot_retry = std::chrono::seconds(2);
};

enum class role { follower, pre_candidate, candidate, leader };

// What a leader knows of one peer. Invariant: match < next.
struct peer_progress {
    log_index match = 0;
    log_index next = 1;
    time_point last_heard{};
    std::uint64_t acked_read = 0;
    time_point snapshot_sent{};
    // `sent_at` of its last message, and when the newest of our messages that it answered was sent.
    std::uint64_t last_stamp = 0;
    std::optional<time_point> answered;
};

// A configuration and the index of the entry that holds it.
struct configuration_at {
    log_index index = 0;
    schema::configuration members;
};

// Entries in memory. Invariant: entries[i].index() == base_index + 1 + i; all entries at or below
// base_index are covered by the snapshot.
struct entry_log {
    log_index base_index = 0;
    term_number base_term = 0;
    std::vector<schema::log_entry> entries;
};

struct pending_read {
    std::uint64_t context = 0;
    std::uint64_t sequence = 0;
    log_index index = 0;
};

// A read that may be served once everything up to `index` is applied.
struct ready_read {
    std::uint64_t context = 0;
    log_index index = 0;
};

// What the host must do, in this order.
struct outputs {
    std::optional<schema::hard_state> hard_state;
    std::optional<schema::snapshot> install;
    std::vector<schema::log_entry> store;
    std::vector<schema::raft_message> messages;
    std::vector<schema::log_entry> committed;
    std::vector<ready_read> reads;
    // Contexts of reads that this node can no longer confirm.
    std::vector<std::uint64_t> failed_reads;

    [[nodiscard]] bool empty() const;
};

// Test-only departures from the protocol, to show that the checks can fail.
enum class mutation { none, vote_twice, commit_without_majority, skip_log_check };

// State of one node. Invariants: commit <= last index; last_delivered <= commit; term never falls;
// at most one vote in a term; at most one configuration entry above commit.
struct node {
    node_id id = 0;
    std::string cluster;
    timing times;
    mutation broken = mutation::none;

    term_number term = 0;
    node_id voted_for = 0;
    entry_log log;
    log_index commit = 0;
    log_index last_delivered = 0;
    schema::snapshot latest_snapshot;
    std::vector<configuration_at> configurations;

    role current_role = role::follower;
    node_id leader = 0;
    time_point leader_heard{};
    // Of the present leader: when we sent the newest message that it answered while it was sure to
    // lead, and the highest commit that it told.
    std::optional<time_point> leader_sure_at;
    log_index leader_commit = 0;
    // Zero of the clock in `sent_at`: random, so that an echo of an earlier start fits no time.
    std::uint64_t clock_zero = 0;
    time_point election_deadline{};
    time_point heartbeat_due{};
    std::set<node_id> votes;
    std::map<node_id, peer_progress> peers;
    log_index term_start = 0;
    std::uint64_t read_sequence = 0;
    std::vector<pending_read> reads;

    outputs pending;
};

// What storage found at start.
struct restored_state {
    schema::hard_state hard;
    schema::snapshot snapshot;
    std::vector<schema::log_entry> entries;
};

struct not_leader {
    // Zero if no leader is known.
    node_id leader = 0;
};

enum class change_error { not_leader, change_in_progress, unknown_member, learner_behind };

// A node as it stands after a start. `restored.snapshot` with index zero means none.
[[nodiscard]] node create(node_id id, std::string cluster, const timing& times,
                          const restored_state& restored, time_point now, std::mt19937_64& rng);

// --- Queries

[[nodiscard]] log_index last_index(const node& n);
// The members in force: those of the last configuration in the log.
[[nodiscard]] const schema::configuration& members_of(const node& n);
[[nodiscard]] bool is_voter(const node& n, node_id id);
// True while the node is the leader, or heard one within the longest election timeout.
[[nodiscard]] bool in_contact(const node& n, time_point now);
// True if the node holds all that was committed up to a moment that is twice the longest election
// timeout ago at most: a leader answered what it sent lately, while a majority answered the leader.
// Messages that waited during a freeze prove nothing.
[[nodiscard]] bool is_up_to_date(const node& n, time_point now);
// True once a leader has handed out everything that was committed before its election. What it
// decides from its state before that would be decided from an old one.
[[nodiscard]] bool ready_to_lead(const node& n);
// The voter, other than this leader, that was not heard for longest, if that is longer than
// `silence`; 0 if there is none. Leader only.
[[nodiscard]] node_id silent_voter(const node& n, duration silence, time_point now);
// True if the learner `id` was heard within `silence`. Leader only.
[[nodiscard]] bool heard_within(const node& n, node_id id, duration silence, time_point now);
// When `tick` should run next at the latest.
[[nodiscard]] time_point next_wakeup(const node& n);
// True once the members without `outgoing` are committed and `id` has stored them. Leader only.
[[nodiscard]] bool change_complete(const node& n, node_id id);

// --- Commands

// Handles one message from another node; ignores those for another cluster or identity.
void step(node& n, const schema::raft_message& m, time_point now, std::mt19937_64& rng);
// Lets time pass: elections, heartbeats, loss of the majority.
void tick(node& n, time_point now, std::mt19937_64& rng);
// Appends a command; the index at which it will stand if it commits under the returned term.
[[nodiscard]] result<log_index, not_leader> propose(node& n, std::string data);
// Confirms leadership for a read; answered through outputs.reads or outputs.failed_reads.
[[nodiscard]] result<nothing, not_leader> request_read(node& n, std::uint64_t context);
// Adds a member that receives the log and does not vote.
[[nodiscard]] result<nothing, change_error> add_learner(node& n,
                                                        const schema::control_member& member);
// Swaps the voter `lost` for the caught-up learner `fresh` through joint majorities.
[[nodiscard]] result<nothing, change_error> replace_voter(node& n, node_id lost, node_id fresh);
// Adds the caught-up learner `id` to the voters through joint majorities.
[[nodiscard]] result<nothing, change_error> promote_learner(node& n, node_id id);
// Removes a learner.
[[nodiscard]] result<nothing, change_error> remove_learner(node& n, node_id id);
// Takes in that the entry `index` of `term` is committed, as the leader told outside the log.
// Ignored where that entry has not arrived yet.
void learn_commit(node& n, log_index index, term_number term);
// Sends what was appended since the last call; called once for each batch of proposals.
void flush(node& n, time_point now);
// Takes the outputs collected so far.
[[nodiscard]] outputs take_outputs(node& n);
// Drops entries up to `keep_from` - 1 that `taken` covers. Precondition: taken.index() <= commit.
void compact(node& n, schema::snapshot taken, log_index keep_from);

}  // namespace burdockdeck::consensus
