// The machine behind consensus/node.h: elections with pre-vote, replication, membership.
#include "consensus/node.h"

#include <algorithm>
#include <cassert>

namespace burdockdeck::consensus {

namespace {

using schema::append_reply;
using schema::append_request;
using schema::configuration;
using schema::control_member;
using schema::log_entry;
using schema::raft_message;

// Bytes of entries in one append request.
constexpr std::size_t max_append_bytes = 1 << 20;
// The first election timeout after a start is shorter by this factor.
constexpr int first_election_divisor = 3;

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

// True if `agrees` holds for a majority of the voters, and of the outgoing voters if there are any.
template <class Predicate>
bool quorum(const configuration& members, Predicate agrees) {
    if (!majority(members.voters(), agrees)) {
        return false;
    }
    return members.outgoing().empty() || majority(members.outgoing(), agrees);
}

std::set<node_id> everyone(const configuration& members) {
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

void fail_reads(node& n) {
    for (const pending_read& r : n.reads) {
        n.pending.failed_reads.push_back(r.context);
    }
    n.reads.clear();
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
    n.votes.clear();
    n.peers.clear();
    fail_reads(n);
    reset_election_deadline(n, now, rng);
}

void note_configuration(node& n, const log_entry& e) {
    if (e.kind() != schema::entry_configuration) {
        return;
    }
    configuration_at at;
    at.index = e.index();
    at.members.ParseFromString(e.data());
    n.configurations.push_back(std::move(at));
}

// Peers follow the members in force; a new peer starts at the end of the log.
void update_peers(node& n, time_point now) {
    const std::set<node_id> ids = everyone(members_of(n));
    std::erase_if(n.peers, [&](const auto& p) { return !ids.contains(p.first); });
    for (const node_id id : ids) {
        if (id == n.id || n.peers.contains(id)) {
            continue;
        }
        peer_progress fresh;
        fresh.next = last_index(n) + 1;
        fresh.last_heard = now;
        n.peers.emplace(id, fresh);
    }
}

void append_entry(node& n, schema::entry_kind kind, std::string data) {
    log_entry e;
    e.set_index(last_index(n) + 1);
    e.set_term(n.term);
    e.set_kind(kind);
    e.set_data(std::move(data));
    n.pending.store.push_back(e);
    note_configuration(n, e);
    n.log.entries.push_back(std::move(e));
}

void truncate_from(node& n, log_index index) {
    n.log.entries.resize(index - n.log.base_index - 1);
    std::erase_if(n.pending.store, [&](const log_entry& e) { return e.index() >= index; });
    std::erase_if(n.configurations, [&](const configuration_at& c) { return c.index >= index; });
}

void hand_out_committed(node& n) {
    while (n.handed_out < n.commit) {
        const log_entry* e = entry_at(n, n.handed_out + 1);
        n.pending.committed.push_back(*e);
        n.handed_out = e->index();
    }
}

void send_snapshot(node& n, node_id to, peer_progress& peer, time_point now) {
    if (now - peer.snapshot_sent < n.times.snapshot_retry && peer.snapshot_sent != time_point{}) {
        // An append at index zero always matches; it keeps the peer from starting an election.
        raft_message keepalive = message_to(n, to, append_request);
        keepalive.set_read_sequence(n.read_sequence);
        n.pending.messages.push_back(std::move(keepalive));
        return;
    }
    raft_message m = message_to(n, to, schema::snapshot_request);
    *m.mutable_snapshot() = n.latest_snapshot;
    peer.snapshot_sent = now;
    n.pending.messages.push_back(std::move(m));
}

void send_append(node& n, node_id to, peer_progress& peer, time_point now) {
    const std::optional<term_number> previous_term = term_at(n, peer.next - 1);
    if (!previous_term) {
        send_snapshot(n, to, peer, now);
        return;
    }
    raft_message m = message_to(n, to, append_request);
    m.set_log_index(peer.next - 1);
    m.set_log_term(*previous_term);
    m.set_commit(n.commit);
    m.set_read_sequence(n.read_sequence);
    std::size_t bytes = 0;
    while (peer.next <= last_index(n) && bytes < max_append_bytes) {
        const log_entry* e = entry_at(n, peer.next);
        bytes += e->ByteSizeLong();
        *m.add_entries() = *e;
        ++peer.next;
    }
    n.pending.messages.push_back(std::move(m));
}

void broadcast(node& n, time_point now) {
    for (auto& [id, peer] : n.peers) {
        send_append(n, id, peer, now);
    }
    n.heartbeat_due = now + n.times.heartbeat;
}

void release_reads(node& n) {
    std::erase_if(n.reads, [&](const pending_read& r) {
        const bool confirmed = quorum(members_of(n), [&](node_id id) {
            if (id == n.id) {
                return true;
            }
            const auto peer = n.peers.find(id);
            return peer != n.peers.end() && peer->second.acked_read >= r.sequence;
        });
        if (confirmed) {
            n.pending.reads.push_back({r.context, r.index});
        }
        return confirmed;
    });
}

bool stored_by_quorum(const node& n, log_index index) {
    if (n.broken == mutation::commit_without_majority) {
        return true;
    }
    return quorum(members_of(n), [&](node_id id) {
        if (id == n.id) {
            return true;
        }
        const auto peer = n.peers.find(id);
        return peer != n.peers.end() && peer->second.match >= index;
    });
}

// Leaves the joint configuration once it is committed. True if it appended an entry.
bool leave_joint(node& n, time_point now) {
    const configuration_at& current = n.configurations.back();
    if (current.members.outgoing().empty() || current.index > n.commit) {
        return false;
    }
    configuration final_members = current.members;
    final_members.clear_outgoing();
    append_entry(n, schema::entry_configuration, final_members.SerializeAsString());
    // A voter that leaves still hears of its removal through this broadcast.
    broadcast(n, now);
    update_peers(n, now);
    return true;
}

// Commits by counting only entries of the current term.
void advance_commit(node& n, time_point now) {
    const log_index before = n.commit;
    for (log_index index = last_index(n); index > n.commit; --index) {
        if (*term_at(n, index) != n.term) {
            break;
        }
        if (stored_by_quorum(n, index)) {
            n.commit = index;
            break;
        }
    }
    if (n.commit == before) {
        return;
    }
    hand_out_committed(n);
    if (leave_joint(n, now)) {
        advance_commit(n, now);
    }
}

void become_leader(node& n, time_point now) {
    n.current_role = role::leader;
    n.leader = n.id;
    n.peers.clear();
    update_peers(n, now);
    append_entry(n, schema::entry_barrier, "");
    n.term_start = last_index(n);
    broadcast(n, now);
    advance_commit(n, now);
}

bool won(const node& n) {
    return quorum(members_of(n), [&](node_id id) { return n.votes.contains(id); });
}

void ask_for_votes(node& n, schema::raft_message_kind kind, term_number term) {
    for (const node_id id : everyone(members_of(n))) {
        if (id == n.id || !is_voter(n, id)) {
            continue;
        }
        raft_message m = message_to(n, id, kind);
        m.set_term(term);
        m.set_log_index(last_index(n));
        m.set_log_term(last_term(n));
        n.pending.messages.push_back(std::move(m));
    }
}

void campaign(node& n, time_point now) {
    n.current_role = role::candidate;
    ++n.term;
    n.voted_for = n.id;
    save_hard_state(n);
    n.votes = {n.id};
    if (won(n)) {
        become_leader(n, now);
        return;
    }
    ask_for_votes(n, schema::vote_request, n.term);
}

void start_pre_vote(node& n, time_point now, std::mt19937_64& rng) {
    n.current_role = role::pre_candidate;
    n.leader = 0;
    n.votes = {n.id};
    reset_election_deadline(n, now, rng);
    if (won(n)) {
        campaign(n, now);
        return;
    }
    ask_for_votes(n, schema::pre_vote_request, n.term + 1);
}

bool log_is_current(const node& n, const raft_message& m) {
    if (n.broken == mutation::skip_log_check) {
        return true;
    }
    if (m.log_term() != last_term(n)) {
        return m.log_term() > last_term(n);
    }
    return m.log_index() >= last_index(n);
}

bool leader_is_recent(const node& n, time_point now) {
    if (n.current_role == role::leader) {
        return true;
    }
    return n.leader != 0 && now - n.leader_heard < n.times.election_min;
}

void on_pre_vote_request(node& n, const raft_message& m, time_point now) {
    raft_message reply = message_to(n, m.from(), schema::pre_vote_reply);
    const bool granted = m.term() > n.term && log_is_current(n, m) && !leader_is_recent(n, now);
    reply.set_reject(!granted);
    reply.set_term(granted ? m.term() : n.term);
    n.pending.messages.push_back(std::move(reply));
}

void on_vote_request(node& n, const raft_message& m, time_point now, std::mt19937_64& rng) {
    if (m.term() > n.term && leader_is_recent(n, now)) {
        return;
    }
    if (m.term() > n.term) {
        become_follower(n, m.term(), 0, now, rng);
    }
    const bool free_vote =
        n.voted_for == 0 || n.voted_for == m.from() || n.broken == mutation::vote_twice;
    const bool granted = m.term() == n.term && free_vote && log_is_current(n, m);
    if (granted) {
        n.voted_for = m.from();
        save_hard_state(n);
        reset_election_deadline(n, now, rng);
    }
    raft_message reply = message_to(n, m.from(), schema::vote_reply);
    reply.set_reject(!granted);
    n.pending.messages.push_back(std::move(reply));
}

void on_pre_vote_reply(node& n, const raft_message& m, time_point now) {
    if (n.current_role != role::pre_candidate || m.reject() || m.term() != n.term + 1) {
        return;
    }
    n.votes.insert(m.from());
    if (won(n)) {
        campaign(n, now);
    }
}

void on_vote_reply(node& n, const raft_message& m, time_point now) {
    if (n.current_role != role::candidate || m.reject() || m.term() != n.term) {
        return;
    }
    n.votes.insert(m.from());
    if (won(n)) {
        become_leader(n, now);
    }
}

void reject_append(node& n, const raft_message& m, log_index hint) {
    raft_message reply = message_to(n, m.from(), append_reply);
    reply.set_reject(true);
    reply.set_log_index(hint);
    reply.set_read_sequence(m.read_sequence());
    n.pending.messages.push_back(std::move(reply));
}

// The last index that may still agree with the leader's log.
log_index conflict_hint(const node& n, log_index previous) {
    if (previous > last_index(n)) {
        return last_index(n);
    }
    const term_number conflicting = term_at(n, previous).value_or(0);
    log_index hint = previous - 1;
    while (hint > n.commit && term_at(n, hint) == conflicting) {
        --hint;
    }
    return hint;
}

void store_entries(node& n, const raft_message& m) {
    for (const log_entry& e : m.entries()) {
        if (e.index() <= n.log.base_index) {
            continue;
        }
        const log_entry* mine = entry_at(n, e.index());
        if (mine != nullptr && mine->term() == e.term()) {
            continue;
        }
        if (mine != nullptr) {
            assert(e.index() > n.commit || n.broken != mutation::none);
            truncate_from(n, e.index());
        }
        n.pending.store.push_back(e);
        note_configuration(n, e);
        n.log.entries.push_back(e);
    }
}

void on_append_request(node& n, const raft_message& m) {
    const log_index previous = m.log_index();
    if (previous < n.log.base_index) {
        // Everything at or below the base is committed here; ask from there on.
        if (previous + static_cast<log_index>(m.entries_size()) <= n.log.base_index) {
            raft_message reply = message_to(n, m.from(), append_reply);
            reply.set_log_index(n.log.base_index);
            reply.set_read_sequence(m.read_sequence());
            n.pending.messages.push_back(std::move(reply));
            return;
        }
    } else if (term_at(n, previous) != m.log_term()) {
        reject_append(n, m, conflict_hint(n, previous));
        return;
    }
    store_entries(n, m);
    const log_index matched = previous + static_cast<log_index>(m.entries_size());
    if (m.commit() > n.commit) {
        n.commit = std::max(n.commit, std::min(m.commit(), matched));
        hand_out_committed(n);
    }
    raft_message reply = message_to(n, m.from(), append_reply);
    reply.set_log_index(matched);
    reply.set_read_sequence(m.read_sequence());
    n.pending.messages.push_back(std::move(reply));
}

void on_append_reply(node& n, const raft_message& m, time_point now) {
    const auto found = n.peers.find(m.from());
    if (n.current_role != role::leader || found == n.peers.end()) {
        return;
    }
    peer_progress& peer = found->second;
    peer.last_heard = now;
    peer.acked_read = std::max(peer.acked_read, m.read_sequence());
    if (m.reject()) {
        const log_index retry_from = std::max(m.log_index(), peer.match) + 1;
        peer.next = std::min(retry_from, last_index(n) + 1);
        send_append(n, m.from(), peer, now);
    } else {
        if (m.log_index() > peer.match) {
            peer.match = m.log_index();
            peer.snapshot_sent = time_point{};
        }
        peer.next = std::max(peer.next, peer.match + 1);
        advance_commit(n, now);
        const bool more = n.peers.contains(m.from()) && peer.next <= last_index(n);
        if (more) {
            send_append(n, m.from(), peer, now);
        }
    }
    release_reads(n);
}

void adopt_snapshot(node& n, const schema::snapshot& s) {
    n.latest_snapshot = s;
    n.log.base_index = s.index();
    n.log.base_term = s.term();
    n.log.entries.clear();
    n.pending.store.clear();
    n.configurations = {{s.index(), s.members()}};
    n.commit = s.index();
    n.handed_out = s.index();
    n.pending.install = s;
    n.pending.committed.clear();
}

void on_snapshot_request(node& n, const raft_message& m) {
    if (m.snapshot().index() > n.commit) {
        adopt_snapshot(n, m.snapshot());
    }
    raft_message reply = message_to(n, m.from(), append_reply);
    reply.set_log_index(std::max(n.commit, m.snapshot().index()));
    n.pending.messages.push_back(std::move(reply));
}

bool hears_majority(const node& n, time_point now) {
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
    if (removed || !hears_majority(n, now)) {
        become_follower(n, n.term, 0, now, rng);
        return;
    }
    if (now >= n.heartbeat_due) {
        broadcast(n, now);
    }
}

std::optional<change_error> change_obstacle(const node& n) {
    if (n.current_role != role::leader) {
        return change_error::not_leader;
    }
    const configuration_at& current = n.configurations.back();
    const bool settled = current.index <= n.commit && current.members.outgoing().empty();
    // A new leader's first own commit must come before its first change of members.
    if (!settled || n.commit < n.term_start) {
        return change_error::change_in_progress;
    }
    return std::nullopt;
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
    n.term = restored.hard.term();
    n.voted_for = restored.hard.voted_for();
    n.latest_snapshot = restored.snapshot;
    n.log.base_index = restored.snapshot.index();
    n.log.base_term = restored.snapshot.term();
    n.commit = n.log.base_index;
    n.handed_out = n.log.base_index;
    n.configurations.push_back({restored.snapshot.index(), restored.snapshot.members()});
    for (const log_entry& e : restored.entries) {
        if (e.index() > n.log.base_index) {
            note_configuration(n, e);
            n.log.entries.push_back(e);
        }
    }
    // No leader is known after a start, so there is none to wait for long; the pre-vote keeps one
    // that others hear.
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

bool in_contact(const node& n, time_point now) {
    if (n.current_role == role::leader) {
        return true;
    }
    return n.leader != 0 && now - n.leader_heard < n.times.election_max;
}

bool ready_to_lead(const node& n) {
    return n.current_role == role::leader && n.handed_out >= n.term_start;
}

node_id silent_voter(const node& n, duration silence, time_point now) {
    node_id longest = 0;
    time_point oldest = now - silence;
    for (const control_member& m : members_of(n).voters()) {
        const auto peer = n.peers.find(m.id());
        if (peer != n.peers.end() && peer->second.last_heard < oldest) {
            oldest = peer->second.last_heard;
            longest = m.id();
        }
    }
    return longest;
}

bool hears(const node& n, node_id id, duration silence, time_point now) {
    const auto peer = n.peers.find(id);
    return peer != n.peers.end() && now - peer->second.last_heard <= silence;
}

time_point next_wakeup(const node& n) {
    return n.current_role == role::leader ? n.heartbeat_due : n.election_deadline;
}

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

void step(node& n, const raft_message& m, time_point now, std::mt19937_64& rng) {
    if (m.to() != n.id || m.cluster() != n.cluster) {
        return;
    }
    if (m.term() > n.term && raises_term(m)) {
        become_follower(n, m.term(), is_from_leader(m) ? m.from() : 0, now, rng);
    }
    if (is_from_leader(m)) {
        if (m.term() < n.term) {
            reject_append(n, m, 0);
            return;
        }
        if (n.current_role != role::follower || n.leader != m.from()) {
            become_follower(n, m.term(), m.from(), now, rng);
        }
        n.leader_heard = now;
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
            on_append_request(n, m);
            break;
        case append_reply:
            if (m.term() == n.term) {
                on_append_reply(n, m, now);
            }
            break;
        case schema::snapshot_request:
            on_snapshot_request(n, m);
            break;
        default:
            break;
    }
}

void tick(node& n, time_point now, std::mt19937_64& rng) {
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

result<nothing, change_error> add_learner(node& n, const control_member& member) {
    if (const auto obstacle = change_obstacle(n)) {
        return *obstacle;
    }
    if (everyone(members_of(n)).contains(member.id())) {
        return nothing{};
    }
    configuration members = members_of(n);
    *members.add_learners() = member;
    append_entry(n, schema::entry_configuration, members.SerializeAsString());
    return nothing{};
}

result<nothing, change_error> replace_voter(node& n, node_id lost, node_id fresh) {
    if (const auto obstacle = change_obstacle(n)) {
        return *obstacle;
    }
    const configuration& current = members_of(n);
    if (!contains(current.voters(), lost) || !contains(current.learners(), fresh)) {
        return change_error::unknown_member;
    }
    const auto peer = n.peers.find(fresh);
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
        *(m.id() == fresh ? joint.add_voters() : joint.add_learners()) = m;
    }
    append_entry(n, schema::entry_configuration, joint.SerializeAsString());
    return nothing{};
}

result<nothing, change_error> promote_learner(node& n, node_id id) {
    if (const auto obstacle = change_obstacle(n)) {
        return *obstacle;
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
    if (const auto obstacle = change_obstacle(n)) {
        return *obstacle;
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
    // The newest configuration at or below the base stays as the starting point.
    while (n.configurations.size() > 1 && n.configurations[1].index <= new_base) {
        n.configurations.erase(n.configurations.begin());
    }
}

}  // namespace burdockdeck::consensus
