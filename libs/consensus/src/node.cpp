// Term handling, message dispatch, timeouts and outputs of a consensus node.
#include "consensus/node.h"

#include <algorithm>
#include <cassert>

#include "node_parts.h"

namespace burdockdeck::consensus {

namespace {

// Shortens the first election timeout after a start, when there is no leader to wait for.
constexpr int first_election_divisor = 3;

void fail_reads(node& n) {
    for (const pending_read& r : n.reads) {
        n.pending.failed_reads.push_back(r.context);
    }
    n.reads.clear();
}

// A node that was not called for this many heartbeats was stalled: its machine was busy or its
// process suspended.
constexpr int stall_heartbeats = 3;

// Moves the times from which the silence of others is counted on by a stall of this node.
void excuse_stall(node& n, time_point now) {
    const duration idle = now - n.active_at;
    n.active_at = now;
    if (idle < stall_heartbeats * n.times.heartbeat) {
        return;
    }
    n.election_deadline += idle;
    n.leader_silent_since = std::min(now, n.leader_silent_since + idle);
    // The others have probably elected another leader during a longer stall.
    if (idle < 2 * n.times.election_max) {
        for (auto& [id, peer] : n.peers) {
            peer.last_heard = std::min(now, peer.last_heard + idle);
        }
    }
}

bool heard_from_majority(const node& n, time_point now) {
    return quorum(members_of(n), [&](node_id id) {
        if (id == n.id) {
            return true;
        }
        const auto peer = n.peers.find(id);
        return peer != n.peers.end() && now - peer->second.last_heard < n.times.election_max;
    });
}

void tick_leader(node& n, time_point now, std::mt19937_64& rng) {
    const bool removed = !is_voter(n, n.id) && n.configurations.back().index <= n.commit;
    if (removed || !heard_from_majority(n, now)) {
        become_follower(n, n.term, 0, now, rng);
        return;
    }
    if (now >= n.heartbeat_due) {
        broadcast(n, now);
    }
}

bool is_from_leader(const raft_message& m) {
    return m.kind() == append_request || m.kind() == schema::snapshot_request;
}

bool raises_term(const raft_message& m) {
    if (m.kind() == schema::pre_vote_request || m.kind() == schema::vote_request) {
        return false;
    }
    return m.kind() != schema::pre_vote_reply || m.reject();
}

}  // namespace

std::set<node_id> all_member_ids(const configuration& members) {
    std::set<node_id> ids;
    for (const auto* group : {&members.voters(), &members.outgoing(), &members.learners()}) {
        for (const control_member& m : *group) {
            ids.insert(m.id());
        }
    }
    return ids;
}

const log_entry* entry_at(const node& n, log_index index) {
    if (index <= n.log.base_index || index > last_index(n)) {
        return nullptr;
    }
    return &n.log.entries[index - n.log.base_index - 1];
}

std::optional<term_number> term_at(const node& n, log_index index) {
    if (index == n.log.base_index) {
        return n.log.base_term;
    }
    const log_entry* e = entry_at(n, index);
    if (e == nullptr) {
        return std::nullopt;
    }
    return e->term();
}

term_number last_term(const node& n) {
    return *term_at(n, last_index(n));
}

raft_message message_to(const node& n, node_id to, schema::raft_message_kind kind) {
    raft_message m;
    m.set_cluster(n.cluster);
    m.set_from(n.id);
    m.set_to(to);
    m.set_term(n.term);
    m.set_kind(kind);
    return m;
}

void save_hard_state(node& n) {
    schema::hard_state hard;
    hard.set_term(n.term);
    hard.set_voted_for(n.voted_for);
    n.pending.hard_state = hard;
}

void reset_election_deadline(node& n, time_point now, std::mt19937_64& rng) {
    const auto spread = (n.times.election_max - n.times.election_min).count();
    std::uniform_int_distribution<duration::rep> pick(0, spread);
    n.election_deadline = now + n.times.election_min + duration(pick(rng));
}

void become_follower(node& n, term_number term, node_id leader, time_point now,
                     std::mt19937_64& rng) {
    if (term > n.term) {
        n.term = term;
        n.voted_for = 0;
        save_hard_state(n);
    }
    n.current_role = role::follower;
    n.leader = leader;
    n.leader_confirmed_at.reset();
    n.leader_commit = 0;
    n.votes.clear();
    n.peers.clear();
    fail_reads(n);
    reset_election_deadline(n, now, rng);
}

bool outputs::empty() const {
    return !hard_state && !install && store.empty() && messages.empty() && committed.empty() &&
           reads.empty() && failed_reads.empty();
}

node create(node_id id, std::string cluster, const timing& times, const restored_state& restored,
            time_point now, std::mt19937_64& rng) {
    node n;
    n.id = id;
    n.cluster = std::move(cluster);
    n.times = times;
    n.clock_offset = rng();
    n.active_at = now;
    n.term = restored.hard_state.term();
    n.voted_for = restored.hard_state.voted_for();
    n.latest_snapshot = restored.snapshot;
    n.log.base_index = restored.snapshot.index();
    n.log.base_term = restored.snapshot.term();
    n.commit = n.log.base_index;
    n.last_delivered = n.log.base_index;
    n.configurations.push_back({restored.snapshot.index(), restored.snapshot.members()});
    for (const log_entry& e : restored.entries) {
        if (e.index() > n.log.base_index) {
            record_configuration(n, e);
            n.log.entries.push_back(e);
        }
    }
    // No leader is known after a start, so a short timeout suffices. The pre-vote prevents this
    // node from deposing a leader that still reaches the other nodes.
    reset_election_deadline(n, now, rng);
    n.election_deadline = now + (n.election_deadline - now) / first_election_divisor;
    return n;
}

log_index last_index(const node& n) {
    return n.log.base_index + n.log.entries.size();
}

const schema::configuration& members_of(const node& n) {
    return n.configurations.back().members;
}

bool is_voter(const node& n, node_id id) {
    const configuration& members = members_of(n);
    return contains(members.voters(), id) || contains(members.outgoing(), id);
}

bool change_under_way(const node& n) {
    const configuration_at& last = n.configurations.back();
    return last.index > n.commit || !last.members.outgoing().empty();
}

bool in_contact(const node& n, time_point now) {
    if (n.current_role == role::leader) {
        return true;
    }
    return n.leader != 0 && now - n.leader_contact_at < n.times.election_max;
}

bool ready_to_lead(const node& n) {
    return n.current_role == role::leader && n.last_delivered >= n.term_start;
}

node_id silent_voter(const node& n, duration silence, time_point now) {
    node_id longest_silent = 0;
    time_point oldest = now - silence;
    for (const control_member& m : members_of(n).voters()) {
        const auto peer = n.peers.find(m.id());
        if (peer != n.peers.end() && peer->second.last_heard < oldest) {
            oldest = peer->second.last_heard;
            longest_silent = m.id();
        }
    }
    return longest_silent;
}

bool heard_within(const node& n, node_id id, duration silence, time_point now) {
    const auto peer = n.peers.find(id);
    return peer != n.peers.end() && now - peer->second.last_heard <= silence;
}

time_point next_wakeup(const node& n) {
    const time_point next_timeout =
        n.current_role == role::leader ? n.heartbeat_due : n.election_deadline;
    return std::min(next_timeout, n.active_at + n.times.heartbeat);
}

void step(node& n, const raft_message& m, time_point now, std::mt19937_64& rng) {
    if (m.to() != n.id || m.cluster() != n.cluster) {
        return;
    }
    excuse_stall(n, now);
    if (m.term() > n.term && raises_term(m)) {
        become_follower(n, m.term(), is_from_leader(m) ? m.from() : 0, now, rng);
    }
    if (is_from_leader(m)) {
        if (m.term() < n.term) {
            reject_append(n, m, 0, now);
            return;
        }
        if (n.current_role != role::follower || n.leader != m.from()) {
            become_follower(n, m.term(), m.from(), now, rng);
        }
        n.leader_contact_at = now;
        n.leader_silent_since = now;
        record_leader_confirmation(n, m, now);
        reset_election_deadline(n, now, rng);
    }
    switch (m.kind()) {
        case schema::pre_vote_request:
            on_pre_vote_request(n, m, now);
            break;
        case schema::pre_vote_reply:
            on_pre_vote_reply(n, m, now);
            break;
        case schema::vote_request:
            on_vote_request(n, m, now, rng);
            break;
        case schema::vote_reply:
            on_vote_reply(n, m, now);
            break;
        case append_request:
            on_append_request(n, m, now);
            break;
        case append_reply:
            if (m.term() == n.term) {
                on_append_reply(n, m, now);
            }
            break;
        case schema::snapshot_request:
            on_snapshot_request(n, m, now);
            break;
        default:
            break;
    }
}

void tick(node& n, time_point now, std::mt19937_64& rng) {
    excuse_stall(n, now);
    if (n.current_role == role::leader) {
        tick_leader(n, now, rng);
        return;
    }
    if (now < n.election_deadline) {
        return;
    }
    if (!is_voter(n, n.id)) {
        reset_election_deadline(n, now, rng);
        return;
    }
    start_pre_vote(n, now, rng);
}

result<log_index, not_leader> propose(node& n, std::string data) {
    if (n.current_role != role::leader) {
        return not_leader{n.leader};
    }
    append_entry(n, schema::entry_command, std::move(data));
    return last_index(n);
}

result<nothing, not_leader> request_read(node& n, std::uint64_t context) {
    if (n.current_role != role::leader) {
        return not_leader{n.leader};
    }
    ++n.read_sequence;
    n.reads.push_back({context, n.read_sequence, std::max(n.commit, n.term_start)});
    return nothing{};
}

void flush(node& n, time_point now) {
    if (n.current_role != role::leader) {
        return;
    }
    update_peers(n, now);
    broadcast(n, now);
    advance_commit(n, now);
    release_reads(n);
}

outputs take_outputs(node& n) {
    outputs taken = std::move(n.pending);
    n.pending = {};
    return taken;
}

void compact(node& n, schema::snapshot taken, log_index keep_from) {
    assert(taken.index() <= n.commit);
    n.latest_snapshot = std::move(taken);
    const log_index new_base = std::min(n.latest_snapshot.index(), keep_from - 1);
    if (new_base <= n.log.base_index) {
        return;
    }
    const term_number base_term = *term_at(n, new_base);
    const auto dropped = static_cast<std::ptrdiff_t>(new_base - n.log.base_index);
    n.log.entries.erase(n.log.entries.begin(), n.log.entries.begin() + dropped);
    n.log.base_index = new_base;
    n.log.base_term = base_term;
    // Keep the newest configuration at or below the base: it applies until the next one in the log.
    while (n.configurations.size() > 1 && n.configurations[1].index <= new_base) {
        n.configurations.erase(n.configurations.begin());
    }
}

}  // namespace burdockdeck::consensus
