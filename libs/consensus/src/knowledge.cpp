// How old a node's knowledge may be. The arrival of a message does not tell, since it may have
// waited for long; an answer to a message of one's own does.
#include "node_parts.h"

namespace burdockdeck::consensus {

namespace {

std::uint64_t clock_of(const node& n, time_point now) {
    return n.clock_zero + static_cast<std::uint64_t>(now.time_since_epoch().count());
}

// When this node sent the message with that stamp; empty if that is too long ago to count, or if
// it was an earlier start of this node.
std::optional<time_point> sent_time(const node& n, std::uint64_t stamp, time_point now) {
    const std::uint64_t age = clock_of(n, now) - stamp;
    if (age >= static_cast<std::uint64_t>(n.times.election_max.count())) {
        return std::nullopt;
    }
    return now - duration(static_cast<duration::rep>(age));
}

bool is_recent(const node& n, const std::optional<time_point>& at, time_point now) {
    return at && now - *at < n.times.election_max;
}

bool sure_to_lead(const node& n, time_point now) {
    return ready_to_lead(n) && quorum(members_of(n), [&](node_id id) {
               const auto peer = n.peers.find(id);
               return id == n.id ||
                      (peer != n.peers.end() && is_recent(n, peer->second.answered, now));
           });
}

}  // namespace

bool is_up_to_date(const node& n, time_point now) {
    if (n.current_role == role::leader) {
        return sure_to_lead(n, now);
    }
    // An entry of the leader's own term is committed only together with all that came before it.
    return n.leader != 0 && is_recent(n, n.leader_sure_at, now) &&
           n.last_delivered >= n.leader_commit && term_at(n, n.last_delivered) == n.term;
}

void stamp(const node& n, raft_message& m, const peer_progress& to, time_point now) {
    m.set_sent_at(clock_of(n, now));
    if (sure_to_lead(n, now)) {
        m.set_echoed(to.last_stamp);
    }
}

void stamp_reply(const node& n, raft_message& m, const raft_message& request, time_point now) {
    m.set_sent_at(clock_of(n, now));
    m.set_echoed(request.sent_at());
}

void note_leaders_knowledge(node& n, const raft_message& m, time_point now) {
    n.leader_commit = std::max(n.leader_commit, m.commit());
    n.leader_sure_at = std::max(n.leader_sure_at, sent_time(n, m.echoed(), now));
}

void note_answer(const node& n, peer_progress& from, const raft_message& m, time_point now) {
    from.last_stamp = m.sent_at();
    from.answered = std::max(from.answered, sent_time(n, m.echoed(), now));
}

}  // namespace burdockdeck::consensus
