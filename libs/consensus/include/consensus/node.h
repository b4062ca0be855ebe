// Raft as a deterministic state machine: messages, ticks and proposals are the input, `outputs` the
// result. It reads no clock, file or socket. The host processes `outputs` in member order: it
// persists hard state and entries (or the snapshot), then sends messages, then applies committed
// entries. Votes and acknowledgements are safe only in that order.
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

// Timing parameters of one node. Precondition: heartbeat * 3 <= election_min < election_max.
struct timing {
    duration heartbeat = std::chrono::milliseconds(60);
    duration election_min = std::chrono::milliseconds(350);
    duration election_max = std::chrono::milliseconds(700);
    // Minimum interval between two snapshots to the same peer.
    duration snapshot_retry = std::chrono::seconds(2);
};

enum class role { follower, pre_candidate, candidate, leader };

// The leader's replication state for one peer. Invariant: match < next.
struct peer_progress {
    log_index match = 0;
    log_index next = 1;
    time_point last_heard{};
    std::uint64_t acked_read = 0;
    time_point snapshot_sent{};
    // `sent_at` of the last message from this peer; echoed in the next message to it.
    std::uint64_t last_sent_at = 0;
    // Send time of the newest message that this peer has replied to.
    std::optional<time_point> confirmed_at;
};

// A configuration and the index of its log entry.
struct configuration_at {
    log_index index = 0;
    schema::configuration members;
};

// The log entries held in memory. Invariant: entries[i].index() == base_index + 1 + i; all entries
// at or below base_index are covered by the snapshot.
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

// A confirmed read; it may be served once all entries up to `index` are applied.
struct ready_read {
    std::uint64_t context = 0;
    log_index index = 0;
};

// Work for the host, to be done in member order.
struct outputs {
    std::optional<schema::hard_state> hard_state;
    std::optional<schema::snapshot> install;
    std::vector<schema::log_entry> store;
    std::vector<schema::raft_message> messages;
    std::vector<schema::log_entry> committed;
    std::vector<ready_read> reads;
    // Contexts of reads that can no longer be confirmed, because this node is not the leader.
    std::vector<std::uint64_t> failed_reads;

    [[nodiscard]] bool empty() const;
};

// Protocol violations that tests inject to show that the safety checks detect them.
enum class mutation { none, vote_twice, commit_without_majority, skip_log_check };

// State of one node. Invariants: commit <= last index; last_delivered <= commit; term never falls;
// at most one vote in a term; at most one configuration entry above commit.
struct node {
    node_id id = 0;
    std::string cluster;
    timing times;
    mutation active_mutation = mutation::none;

    term_number term = 0;
    node_id voted_for = 0;
    entry_log log;
    log_index commit = 0;
    log_index last_delivered = 0;
    schema::snapshot latest_snapshot;
    std::vector<configuration_at> configurations;

    role current_role = role::follower;
    node_id leader = 0;
    time_point leader_contact_at{};
    // The same, moved on by the time in which this node did not run: it has not listened then, so
    // the leader has not been silent. Only elections depend on it.
    time_point leader_silent_since{};
    // The last call of `step` or `tick`. A node that runs is called at least once a heartbeat.
    time_point active_at{};
    // Send time of this node's newest message that the current leader has echoed. A leader echoes
    // messages only while a majority confirms its leadership.
    std::optional<time_point> leader_confirmed_at;
    // The highest commit index received from the current leader.
    log_index leader_commit = 0;
    // Offset of the timestamps in `sent_at`; random per start, so that echoes of timestamps from
    // before a restart are not accepted.
    std::uint64_t clock_offset = 0;
    time_point election_deadline{};
    time_point heartbeat_due{};
    std::set<node_id> votes;
    std::map<node_id, peer_progress> peers;
    log_index term_start = 0;
    // When this node last became leader.
    time_point leads_since{};
    std::uint64_t read_sequence = 0;
    std::vector<pending_read> reads;

    outputs pending;
};

// The persisted state that a node starts from.
struct restored_state {
    schema::hard_state hard_state;
    schema::snapshot snapshot;
    std::vector<schema::log_entry> entries;
};

struct not_leader {
    // Zero if no leader is known.
    node_id leader = 0;
};

enum class change_error { not_leader, change_in_progress, unknown_member, learner_behind };

// Creates a node from its persisted state. A `restored.snapshot` with index 0 means no snapshot.
[[nodiscard]] node create(node_id id, std::string cluster, const timing& times,
                          const restored_state& restored, time_point now, std::mt19937_64& rng);

// --- Queries

[[nodiscard]] log_index last_index(const node& n);
// The last configuration in the log, committed or not.
[[nodiscard]] const schema::configuration& members_of(const node& n);
[[nodiscard]] bool is_voter(const node& n, node_id id);
// True until the last configuration in the log is committed and has no `outgoing` voters.
[[nodiscard]] bool change_under_way(const node& n);
// True if the node is the leader, or received a message from one within `election_max`.
[[nodiscard]] bool in_contact(const node& n, time_point now);
// True if the node has delivered all entries that were committed up to 2 * `election_max` ago: the
// leader echoed a recent message of this node, and a majority had confirmed that leader. Based on
// echoed timestamps, because messages queued while the process was suspended are not proof.
[[nodiscard]] bool is_up_to_date(const node& n, time_point now);
// True once a leader has delivered all entries that were committed before its election. Before
// that, decisions based on its applied state would use outdated data.
[[nodiscard]] bool ready_to_lead(const node& n);
// The voter from which this leader has received no reply for the longest time, if that exceeds
// `silence`; otherwise 0. Leader only.
[[nodiscard]] node_id silent_voter(const node& n, duration silence, time_point now);
// True if the leader received a reply from peer `id` within `silence`. Leader only.
[[nodiscard]] bool heard_within(const node& n, node_id id, duration silence, time_point now);
// The latest time at which `tick` must run next.
[[nodiscard]] time_point next_wakeup(const node& n);
// True once a configuration without `outgoing` voters is committed, and `id` is one of its voters
// and has stored it. Leader only.
[[nodiscard]] bool change_complete(const node& n, node_id id);

// --- Commands

// Handles a message from another node. Ignores messages for another cluster or node id.
void step(node& n, const schema::raft_message& m, time_point now, std::mt19937_64& rng);
// Handles timeouts: starts elections, sends heartbeats, steps down without a majority. Time in
// which neither `step` nor `tick` was called counts as silence of no other node, because the
// messages of that time may still wait to be handled.
void tick(node& n, time_point now, std::mt19937_64& rng);
// Appends a command. Returns its index, which is valid if the entry commits in the current term.
[[nodiscard]] result<log_index, not_leader> propose(node& n, std::string data);
// Starts a linearizable read by confirming leadership. The result is delivered in outputs.reads or
// outputs.failed_reads.
[[nodiscard]] result<nothing, not_leader> request_read(node& n, std::uint64_t context);
// Adds a non-voting member that receives the log.
[[nodiscard]] result<nothing, change_error> add_learner(node& n,
                                                        const schema::control_member& member);
// Replaces the voter `lost` by the caught-up learner `replacement`, using joint consensus.
[[nodiscard]] result<nothing, change_error> replace_voter(node& n, node_id lost,
                                                          node_id replacement);
// Promotes the caught-up learner `id` to a voter, using joint consensus.
[[nodiscard]] result<nothing, change_error> promote_learner(node& n, node_id id);
// Removes a learner.
[[nodiscard]] result<nothing, change_error> remove_learner(node& n, node_id id);
// Advances the commit index to the entry (`index`, `term`), which the leader reported as committed
// in a message outside the Raft log. Ignored if this node's log does not contain that entry.
void learn_commit(node& n, log_index index, term_number term);
// Replicates the entries appended since the last call. Called once per batch of proposals.
void flush(node& n, time_point now);
// Returns and clears the pending outputs.
[[nodiscard]] outputs take_outputs(node& n);
// Stores `taken` as the latest snapshot and discards the entries before `keep_from` that it covers.
// Precondition: taken.index() <= commit.
void compact(node& n, schema::snapshot taken, log_index keep_from);

}  // namespace burdockdeck::consensus
