// Bounds the age of a node's state by echoed timestamps. The arrival time of a message gives no
// bound, because it may have been queued for long; a reply to a message of this node does.
#include "node_parts.h"

namespace burdockdeck::consensus {

namespace {

std::uint64_t timestamp_at(const node& n, time_point now) {
    return n.clock_offset + static_cast<std::uint64_t>(now.time_since_epoch().count());
}

// True if this node has sent the message with this timestamp less than `longest` ago, and not
// before the last restart.
bool sent_within(const node& n, std::uint64_t timestamp, duration longest, time_point now) {
    return timestamp_at(n, now) - timestamp < static_cast<std::uint64_t>(longest.count());
}

// The time at which this node sent the message with this timestamp; empty if that was
// `election_max` or more ago, or before the last restart.
std::optional<time_point> sent_time(const node& n, std::uint64_t timestamp, time_point now) {
    if (!sent_within(n, timestamp, n.times.election_max, now)) {
        return std::nullopt;
    }
    return now - duration(static_cast<duration::rep>(timestamp_at(n, now) - timestamp));
}

bool is_recent(const node& n, const std::optional<time_point>& at, time_point now) {
    return at && now - *at < n.times.election_max;
}

bool leadership_confirmed(const node& n, time_point now) {
    return ready_to_lead(n) && quorum(members_of(n), [&](node_id id) {
               const auto peer = n.peers.find(id);
               return id == n.id ||
                      (peer != n.peers.end() && is_recent(n, peer->second.confirmed_at, now));
           });
}

}  // namespace

bool is_up_to_date(const node& n, time_point now) {
    if (n.current_role == role::leader) {
        return leadership_confirmed(n, now);
    }
    // A committed entry of the leader's term implies that all earlier entries are committed.
    return n.leader != 0 && is_recent(n, n.leader_confirmed_at, now) &&
           n.last_delivered >= n.leader_commit && term_at(n, n.last_delivered) == n.term;
}

void stamp(const node& n, raft_message& m, const peer_progress& to, time_point now) {
    m.set_sent_at(timestamp_at(n, now));
    if (leadership_confirmed(n, now)) {
        m.set_echoed(to.last_sent_at);
    }
}

void stamp_reply(const node& n, raft_message& m, const raft_message& request, time_point now) {
    m.set_sent_at(timestamp_at(n, now));
    m.set_echoed(request.sent_at());
}

void record_leader_confirmation(node& n, const raft_message& m, time_point now) {
    n.leader_commit = std::max(n.leader_commit, m.commit());
    n.leader_confirmed_at = std::max(n.leader_confirmed_at, sent_time(n, m.echoed(), now));
}

void record_reply(const node& n, peer_progress& from, const raft_message& m, time_point now) {
    from.last_sent_at = m.sent_at();
    from.confirmed_at = std::max(from.confirmed_at, sent_time(n, m.echoed(), now));
    // Read sequences start anew with each process. A peer may reply in this term to a message from
    // before a restart.
    const duration led_for = now - n.leads_since + duration(1);
    if (sent_within(n, m.echoed(), led_for, now)) {
        from.acked_read = std::max(from.acked_read, m.read_sequence());
    }
}

}  // namespace burdockdeck::consensus
