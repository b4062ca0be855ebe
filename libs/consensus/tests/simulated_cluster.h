// A simulated cluster of consensus nodes in virtual time. Messages may be dropped, delayed,
// duplicated or blocked; nodes may crash, freeze or lose their disk. Its behaviour is checked
// against a reference model: a single list of applied commands.
#pragma once

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/node.h"

namespace burdockdeck::consensus::testing {

using std::chrono::milliseconds;

struct disk {
    schema::hard_state hard_state;
    schema::snapshot snapshot;
    std::vector<schema::log_entry> entries;
};

struct member {
    std::optional<node> node_state;
    disk stored;
    // The commands that this node's replicated state machine has applied.
    std::vector<std::string> applied;
    bool frozen = false;
    bool wiped = false;
    std::vector<schema::raft_message> frozen_inbox;
    std::map<std::uint64_t, std::size_t> reads_started;
    // Confirmed reads whose index is not applied yet.
    std::vector<ready_read> reads_waiting;
};

struct in_flight {
    time_point at;
    std::uint64_t send_number;
    schema::raft_message message;
    bool operator>(const in_flight& o) const {
        return std::tie(at, send_number) > std::tie(o.at, o.send_number);
    }
};

struct network_faults {
    double drop = 0.0;
    double duplicate = 0.0;
    milliseconds longest_delay{5};
};

class cluster {
public:
    cluster(int size, unsigned seed, mutation active_mutation = mutation::none)
        : rng(seed), active_mutation_(active_mutation) {
        schema::configuration members;
        for (int i = 1; i <= size; ++i) {
            members.add_voters()->set_id(static_cast<node_id>(i));
        }
        for (int i = 1; i <= size; ++i) {
            nodes[static_cast<node_id>(i)].stored.snapshot = founding_snapshot(members);
            start(static_cast<node_id>(i));
        }
    }

    static schema::snapshot founding_snapshot(const schema::configuration& members) {
        schema::snapshot s;
        s.set_index(1);
        s.set_term(1);
        *s.mutable_members() = members;
        return s;
    }

    void start(node_id id) {
        member& m = nodes[id];
        const restored_state restored{m.stored.hard_state, m.stored.snapshot, m.stored.entries};
        m.node_state = create(id, "test", timing{}, restored, now, rng);
        m.node_state->active_mutation = active_mutation_;
        m.applied = decode(m.stored.snapshot.state());
        m.frozen = false;
        m.frozen_inbox.clear();
    }

    void crash(node_id id) {
        nodes[id].node_state.reset();
        nodes[id].reads_started.clear();
        nodes[id].reads_waiting.clear();
    }

    void wipe(node_id id) {
        crash(id);
        nodes[id].stored = {};
        nodes[id].wiped = true;
    }

    void add_empty(node_id id) {
        nodes[id];
        start(id);
    }

    void thaw(node_id id) {
        member& m = nodes[id];
        m.frozen = false;
        std::vector<schema::raft_message> inbox;
        inbox.swap(m.frozen_inbox);
        for (const auto& message : inbox) {
            deliver(message);
        }
    }

    // Ends a stall of a node whose timers run before it reads the messages that wait for it.
    void resume_with_timers_first(node_id id) {
        nodes[id].frozen = false;
        tick(*nodes[id].node_state, now, rng);
        process_outputs(id);
        thaw(id);
    }

    // Advances virtual time by one millisecond.
    void run_one() {
        now += milliseconds(1);
        while (!in_transit.empty() && in_transit.top().at <= now) {
            const schema::raft_message message = in_transit.top().message;
            in_transit.pop();
            deliver(message);
        }
        for (auto& [id, m] : nodes) {
            if (m.node_state && !m.frozen && next_wakeup(*m.node_state) <= now) {
                tick(*m.node_state, now, rng);
                process_outputs(id);
            }
        }
        acknowledged_at[now] = acknowledged_count;
        for (const auto& [id, m] : nodes) {
            check_up_to_date_reports(m);
        }
    }

    void run_for(milliseconds time) {
        for (milliseconds t{0}; t < time; t += milliseconds(1)) {
            run_one();
        }
    }

    // The running leader with the highest term, if any.
    std::optional<node_id> leader() const {
        std::optional<node_id> best;
        for (const auto& [id, m] : nodes) {
            if (m.node_state && !m.frozen && m.node_state->current_role == role::leader &&
                (!best || nodes.at(*best).node_state->term < m.node_state->term)) {
                best = id;
            }
        }
        return best;
    }

    bool run_until_leader(milliseconds limit) {
        for (milliseconds t{0}; t < limit && !leader(); t += milliseconds(1)) {
            run_one();
        }
        return leader().has_value();
    }

    // Proposes a command at node `id`. It counts as acknowledged once `id` has applied it.
    bool propose_at(node_id id, const std::string& command) {
        member& m = nodes[id];
        if (!m.node_state || m.frozen) {
            return false;
        }
        if (!succeeded(propose(*m.node_state, command))) {
            return false;
        }
        unacknowledged[id].insert(command);
        flush(*m.node_state, now);
        process_outputs(id);
        return true;
    }

    void read_at(node_id id) {
        member& m = nodes[id];
        if (!m.node_state || m.frozen) {
            return;
        }
        const std::uint64_t context = ++last_context;
        if (succeeded(request_read(*m.node_state, context))) {
            m.reads_started[context] = acknowledged_count;
            flush(*m.node_state, now);
            process_outputs(id);
        }
    }

    void process_outputs(node_id id) {
        member& m = nodes[id];
        while (m.node_state) {
            const outputs out = take_outputs(*m.node_state);
            if (out.empty()) {
                return;
            }
            record_leader(*m.node_state);
            store(m, out);
            send(out);
            apply(id, out);
            check_ready(m);
            finish_reads(m, out);
            maybe_compact(m);
        }
    }

    void check_same_history() const {
        for (const auto& [id, m] : nodes) {
            if (!m.node_state) {
                continue;
            }
            for (std::size_t i = 0; i < m.applied.size() && i < history.size(); ++i) {
                CHECK(m.applied[i] == history[i]);
            }
        }
    }

    std::mt19937_64 rng;
    time_point now{};
    std::map<node_id, member> nodes;
    network_faults faults;
    // Directed links (from, to) on which all messages are dropped.
    std::set<std::pair<node_id, node_id>> blocked_links;
    // Reference model: the list of applied commands, and the number of them that were acknowledged.
    std::vector<std::string> history;
    std::size_t acknowledged_count = 0;
    std::uint64_t violations = 0;
    std::size_t reads_done = 0;
    std::size_t ready_leaders = 0;
    // How often `is_up_to_date` was true for a node, and how often that was wrong.
    std::size_t up_to_date_reports = 0;
    std::size_t false_up_to_date_reports = 0;
    log_index compact_after = 40;

private:
    static std::vector<std::string> decode(const std::string& state) {
        std::vector<std::string> out;
        std::size_t at = 0;
        while (at < state.size()) {
            const std::size_t end = state.find('\n', at);
            out.push_back(state.substr(at, end - at));
            at = end + 1;
        }
        return out;
    }

    static std::string encode(const std::vector<std::string>& applied) {
        std::string state;
        for (const std::string& command : applied) {
            state += command + "\n";
        }
        return state;
    }

    void deliver(const schema::raft_message& message) {
        const auto found = nodes.find(message.to());
        if (found == nodes.end() || !found->second.node_state) {
            return;
        }
        if (found->second.frozen) {
            found->second.frozen_inbox.push_back(message);
            return;
        }
        step(*found->second.node_state, message, now, rng);
        process_outputs(message.to());
    }

    static void store(member& m, const outputs& out) {
        if (out.hard_state) {
            m.stored.hard_state = *out.hard_state;
        }
        if (out.install) {
            m.stored.snapshot = *out.install;
            m.stored.entries.clear();
        }
        if (!out.store.empty()) {
            const log_index first = out.store.front().index();
            std::erase_if(m.stored.entries,
                          [&](const schema::log_entry& e) { return e.index() >= first; });
            m.stored.entries.insert(m.stored.entries.end(), out.store.begin(), out.store.end());
        }
    }

    void send(const outputs& out) {
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        for (const schema::raft_message& message : out.messages) {
            const int copies = chance(rng) < faults.duplicate ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                if (blocked_links.contains({message.from(), message.to()}) ||
                    chance(rng) < faults.drop) {
                    continue;
                }
                std::uniform_int_distribution<long> delay(1, faults.longest_delay.count());
                in_transit.push({now + milliseconds(delay(rng)), ++sent, message});
            }
        }
    }

    void apply(node_id id, const outputs& out) {
        member& m = nodes[id];
        if (out.install) {
            m.applied = decode(out.install->state());
        }
        for (const schema::log_entry& e : out.committed) {
            if (e.kind() != schema::entry_command) {
                continue;
            }
            m.applied.push_back(e.data());
            const std::size_t position = m.applied.size() - 1;
            if (position == history.size()) {
                history.push_back(e.data());
            }
            violations += history[position] != e.data() ? 1 : 0;
            if (unacknowledged[id].erase(e.data()) > 0) {
                acknowledged_count = std::max(acknowledged_count, position + 1);
            }
        }
    }

    void finish_reads(member& m, const outputs& out) {
        m.reads_waiting.insert(m.reads_waiting.end(), out.reads.begin(), out.reads.end());
        std::erase_if(m.reads_waiting, [&](const ready_read& r) {
            if (m.node_state->last_delivered < r.index) {
                return false;
            }
            // A read must reflect all commands that were acknowledged before its request.
            violations += m.applied.size() < m.reads_started.at(r.context) ? 1 : 0;
            ++reads_done;
            return true;
        });
    }

    // Checks that a leader has applied all commands acknowledged before its election once
    // `ready_to_lead` is true for it.
    void check_ready(const member& m) {
        if (ready_to_lead(*m.node_state)) {
            violations += m.applied.size() < acknowledged_at_election[m.node_state->term] ? 1 : 0;
            ++ready_leaders;
        }
    }

    // Checks that a node for which `is_up_to_date` is true has applied all commands that were
    // acknowledged before the maximum age that `is_up_to_date` allows.
    void check_up_to_date_reports(const member& m) {
        if (!m.node_state || m.frozen || !is_up_to_date(*m.node_state, now)) {
            return;
        }
        ++up_to_date_reports;
        const auto later = acknowledged_at.upper_bound(now - 2 * timing{}.election_max);
        if (later != acknowledged_at.begin()) {
            false_up_to_date_reports += m.applied.size() < std::prev(later)->second ? 1 : 0;
        }
    }

    void record_leader(const node& n) {
        if (n.current_role != role::leader) {
            return;
        }
        acknowledged_at_election.try_emplace(n.term, acknowledged_count);
        const auto [recorded, inserted] = leaders.try_emplace(n.term, n.id);
        violations += recorded->second != n.id ? 1 : 0;
    }

    void maybe_compact(member& m) {
        node& n = *m.node_state;
        if (n.last_delivered < n.log.base_index + compact_after) {
            return;
        }
        schema::snapshot s;
        s.set_index(n.last_delivered);
        const std::size_t offset = n.last_delivered - n.log.base_index - 1;
        s.set_term(n.log.entries[offset].term());
        for (const configuration_at& c : n.configurations) {
            if (c.index <= s.index()) {
                *s.mutable_members() = c.members;
            }
        }
        s.set_state(encode(m.applied));
        compact(n, s, s.index() - std::min<log_index>(s.index() - 1, 10));
        m.stored.snapshot = s;
        std::erase_if(m.stored.entries,
                      [&](const schema::log_entry& e) { return e.index() <= s.index(); });
    }

    mutation active_mutation_;
    std::priority_queue<in_flight, std::vector<in_flight>, std::greater<>> in_transit;
    std::uint64_t sent = 0;
    std::uint64_t last_context = 0;
    std::map<node_id, std::set<std::string>> unacknowledged;
    std::map<term_number, node_id> leaders;
    // The number of acknowledged commands at the end of each millisecond.
    std::map<time_point, std::size_t> acknowledged_at;
    std::map<term_number, std::size_t> acknowledged_at_election;
};

}  // namespace burdockdeck::consensus::testing
