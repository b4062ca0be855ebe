// Log replication, snapshot transfer, commit, and confirmation of reads.
#include "node_parts.h"

namespace burdockdeck::consensus {

namespace {

// An append request takes no further entries once it holds this many bytes of them.
constexpr std::size_t max_append_bytes = 1 << 20;

void truncate_from(node& n, log_index index) {
    n.log.entries.resize(index - n.log.base_index - 1);
    std::erase_if(n.pending.store, [&](const log_entry& e) { return e.index() >= index; });
    std::erase_if(n.configurations, [&](const configuration_at& c) { return c.index >= index; });
}

void deliver_committed(node& n) {
    while (n.last_delivered < n.commit) {
        const log_entry* e = entry_at(n, n.last_delivered + 1);
        n.pending.committed.push_back(*e);
        n.last_delivered = e->index();
    }
}

void send_snapshot(node& n, node_id to, peer_progress& peer, time_point now) {
    if (now - peer.snapshot_sent < n.times.snapshot_retry && peer.snapshot_sent != time_point{}) {
        // An append request with previous index 0 always matches. It serves as a heartbeat, so that
        // the peer does not start an election.
        raft_message keepalive = message_to(n, to, append_request);
        keepalive.set_commit(n.commit);
        keepalive.set_read_sequence(n.read_sequence);
        stamp(n, keepalive, peer, now);
        n.pending.messages.push_back(std::move(keepalive));
        return;
    }
    raft_message m = message_to(n, to, schema::snapshot_request);
    *m.mutable_snapshot() = n.latest_snapshot;
    m.set_commit(n.commit);
    stamp(n, m, peer, now);
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
    stamp(n, m, peer, now);
    std::size_t bytes = 0;
    while (peer.next <= last_index(n) && bytes < max_append_bytes) {
        const log_entry* e = entry_at(n, peer.next);
        bytes += e->ByteSizeLong();
        *m.add_entries() = *e;
        ++peer.next;
    }
    n.pending.messages.push_back(std::move(m));
}

bool stored_by_quorum(const node& n, log_index index) {
    if (n.active_mutation == mutation::commit_without_majority) {
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

// Appends the final configuration once the joint one is committed. True if it appended an entry.
bool leave_joint(node& n, time_point now) {
    const configuration_at& current = n.configurations.back();
    if (current.members.outgoing().empty() || current.index > n.commit) {
        return false;
    }
    configuration final_members = current.members;
    final_members.clear_outgoing();
    append_entry(n, schema::entry_configuration, final_members.SerializeAsString());
    // Broadcast before update_peers, so that a removed voter still receives its removal.
    broadcast(n, now);
    update_peers(n, now);
    return true;
}

// The highest index at which this log may still match the leader's, skipping the conflicting term.
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
        const log_entry* existing = entry_at(n, e.index());
        if (existing != nullptr && existing->term() == e.term()) {
            continue;
        }
        if (existing != nullptr) {
            assert(e.index() > n.commit || n.active_mutation != mutation::none);
            truncate_from(n, e.index());
        }
        n.pending.store.push_back(e);
        record_configuration(n, e);
        n.log.entries.push_back(e);
    }
}

void adopt_snapshot(node& n, const schema::snapshot& s) {
    n.latest_snapshot = s;
    n.log.base_index = s.index();
    n.log.base_term = s.term();
    n.log.entries.clear();
    n.pending.store.clear();
    n.configurations = {{s.index(), s.members()}};
    n.commit = s.index();
    n.last_delivered = s.index();
    n.pending.install = s;
    n.pending.committed.clear();
}

}  // namespace

void record_configuration(node& n, const log_entry& e) {
    if (e.kind() != schema::entry_configuration) {
        return;
    }
    configuration_at at;
    at.index = e.index();
    at.members.ParseFromString(e.data());
    n.configurations.push_back(std::move(at));
}

void update_peers(node& n, time_point now) {
    const std::set<node_id> ids = all_member_ids(members_of(n));
    std::erase_if(n.peers, [&](const auto& p) { return !ids.contains(p.first); });
    for (const node_id id : ids) {
        if (id == n.id || n.peers.contains(id)) {
            continue;
        }
        peer_progress progress;
        progress.next = last_index(n) + 1;
        progress.last_heard = now;
        n.peers.emplace(id, progress);
    }
}

void append_entry(node& n, schema::entry_kind kind, std::string data) {
    log_entry e;
    e.set_index(last_index(n) + 1);
    e.set_term(n.term);
    e.set_kind(kind);
    e.set_data(std::move(data));
    n.pending.store.push_back(e);
    record_configuration(n, e);
    n.log.entries.push_back(std::move(e));
}

void broadcast(node& n, time_point now) {
    for (auto& [id, peer] : n.peers) {
        send_append(n, id, peer, now);
    }
    n.heartbeat_due = now + n.times.heartbeat;
}

// Safe by the log matching property: logs that share an entry agree on all entries before it.
void learn_commit(node& n, log_index index, term_number term) {
    if (index > n.commit && term_at(n, index) == term) {
        n.commit = index;
        deliver_committed(n);
    }
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
    deliver_committed(n);
    if (leave_joint(n, now)) {
        advance_commit(n, now);
    }
}

void reject_append(node& n, const raft_message& m, log_index hint, time_point now) {
    raft_message reply = message_to(n, m.from(), append_reply);
    stamp_reply(n, reply, m, now);
    reply.set_reject(true);
    reply.set_log_index(hint);
    reply.set_read_sequence(m.read_sequence());
    n.pending.messages.push_back(std::move(reply));
}

void on_append_request(node& n, const raft_message& m, time_point now) {
    const log_index previous = m.log_index();
    if (previous < n.log.base_index) {
        // All entries up to `base_index` are committed and covered by this node's snapshot. The
        // reply makes the leader continue after them.
        if (previous + static_cast<log_index>(m.entries_size()) <= n.log.base_index) {
            raft_message reply = message_to(n, m.from(), append_reply);
            stamp_reply(n, reply, m, now);
            reply.set_log_index(n.log.base_index);
            reply.set_read_sequence(m.read_sequence());
            n.pending.messages.push_back(std::move(reply));
            return;
        }
    } else if (term_at(n, previous) != m.log_term()) {
        reject_append(n, m, conflict_hint(n, previous), now);
        return;
    }
    store_entries(n, m);
    const log_index matched = previous + static_cast<log_index>(m.entries_size());
    if (m.commit() > n.commit) {
        n.commit = std::max(n.commit, std::min(m.commit(), matched));
        deliver_committed(n);
    }
    raft_message reply = message_to(n, m.from(), append_reply);
    stamp_reply(n, reply, m, now);
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
    record_reply(n, peer, m, now);
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

void on_snapshot_request(node& n, const raft_message& m, time_point now) {
    if (m.snapshot().index() > n.commit) {
        adopt_snapshot(n, m.snapshot());
    }
    raft_message reply = message_to(n, m.from(), append_reply);
    stamp_reply(n, reply, m, now);
    reply.set_log_index(std::max(n.commit, m.snapshot().index()));
    n.pending.messages.push_back(std::move(reply));
}

}  // namespace burdockdeck::consensus
