// Leader elections with a pre-vote.
#include "node_parts.h"

namespace burdockdeck::consensus {

namespace {

void become_leader(node& n, time_point now) {
    n.current_role = role::leader;
    n.leader = n.id;
    n.leads_since = now;
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

void request_votes(node& n, schema::raft_message_kind kind, term_number term) {
    for (const node_id id : all_member_ids(members_of(n))) {
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
    request_votes(n, schema::vote_request, n.term);
}

bool log_is_current(const node& n, const raft_message& m) {
    if (n.active_mutation == mutation::skip_log_check) {
        return true;
    }
    if (m.log_term() != last_term(n)) {
        return m.log_term() > last_term(n);
    }
    return m.log_index() >= last_index(n);
}

bool heard_leader_recently(const node& n, time_point now) {
    if (n.current_role == role::leader) {
        return true;
    }
    return n.leader != 0 && now - n.leader_silent_since < n.times.election_min;
}

}  // namespace

void start_pre_vote(node& n, time_point now, std::mt19937_64& rng) {
    n.current_role = role::pre_candidate;
    n.leader = 0;
    n.votes = {n.id};
    reset_election_deadline(n, now, rng);
    if (won(n)) {
        campaign(n, now);
        return;
    }
    request_votes(n, schema::pre_vote_request, n.term + 1);
}

void on_pre_vote_request(node& n, const raft_message& m, time_point now) {
    raft_message reply = message_to(n, m.from(), schema::pre_vote_reply);
    const bool granted =
        m.term() > n.term && log_is_current(n, m) && !heard_leader_recently(n, now);
    reply.set_reject(!granted);
    reply.set_term(granted ? m.term() : n.term);
    n.pending.messages.push_back(std::move(reply));
}

void on_vote_request(node& n, const raft_message& m, time_point now, std::mt19937_64& rng) {
    if (m.term() > n.term && heard_leader_recently(n, now)) {
        return;
    }
    if (m.term() > n.term) {
        become_follower(n, m.term(), 0, now, rng);
    }
    const bool can_vote =
        n.voted_for == 0 || n.voted_for == m.from() || n.active_mutation == mutation::vote_twice;
    const bool granted = m.term() == n.term && can_vote && log_is_current(n, m);
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

}  // namespace burdockdeck::consensus
