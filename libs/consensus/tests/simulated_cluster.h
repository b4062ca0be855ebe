// A cluster of consensus nodes under virtual time for tests: a network that drops, delays,
// duplicates and cuts, disks that lose what was not synced, nodes that crash, freeze and lose their
// disk. It is checked against a naive version: one list of applied commands.
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
    schema::hard_state hard;
    schema::snapshot snapshot;
    std::vector<schema::log_entry> entries;
};

struct member {
    std::optional<node> machine;
    disk stored;
    // Commands applied, as the state machine of this node sees them.
    std::vector<std::string> applied;
    bool frozen = false;
    bool wiped = false;
    std::vector<schema::raft_message> frozen_inbox;
    std::map<std::uint64_t, std::size_t> reads_started;
    // Confirmed reads that wait until their index is applied.
    std::vector<ready_read> reads_waiting;
};

struct in_flight {
    time_point at;
    std::uint64_t order;
    schema::raft_message message;
    bool operator>(const in_flight& o) const {
        return std::tie(at, order) > std::tie(o.at, o.order);
    }
};

struct network_faults {
    double drop = 0.0;
    double duplicate = 0.0;
    milliseconds longest_delay{5};
};

class cluster {
public:
    cluster(int size, unsigned seed, mutation broken = mutation::none)
        : rng(seed), broken_(broken) {
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
        const restored_state restored{m.stored.hard, m.stored.snapshot, m.stored.entries};
        m.machine = create(id, "test", timing{}, restored, now, rng);
        m.machine->broken = broken_;
        m.applied = decode(m.stored.snapshot.state());
        m.frozen = false;
        m.frozen_inbox.clear();
    }

    void crash(node_id id) {
        nodes[id].machine.reset();
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

    // Runs one millisecond of virtual time.
    void run_one() {
        now += milliseconds(1);
        while (!wire.empty() && wire.top().at <= now) {
            const schema::raft_message message = wire.top().message;
            wire.pop();
            deliver(message);
        }
        for (auto& [id, m] : nodes) {
            if (m.machine && !m.frozen && next_wakeup(*m.machine) <= now) {
                tick(*m.machine, now, rng);
                drain(id);
            }
        }
        acknowledged_by[now] = acknowledged_count;
        for (const auto& [id, m] : nodes) {
            check_knowledge(m);
        }
    }

    void run_for(milliseconds time) {
        for (milliseconds t{0}; t < time; t += milliseconds(1)) {
            run_one();
        }
    }

    // A leader that still has its majority, if any.
    std::optional<node_id> leader() const {
        std::optional<node_id> best;
        for (const auto& [id, m] : nodes) {
            if (m.machine && !m.frozen && m.machine->current_role == role::leader &&
                (!best || nodes.at(*best).machine->term < m.machine->term)) {
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

    // Proposes at `id`; the command counts as acknowledged once `id` applies it.
    bool propose_at(node_id id, const std::string& command) {
        member& m = nodes[id];
        if (!m.machine || m.frozen) {
            return false;
        }
        if (!succeeded(propose(*m.machine, command))) {
            return false;
        }
        awaited[id].insert(command);
        flush(*m.machine, now);
        drain(id);
        return true;
    }

    void read_at(node_id id) {
        member& m = nodes[id];
        if (!m.machine || m.frozen) {
            return;
        }
        const std::uint64_t context = ++last_context;
        if (succeeded(request_read(*m.machine, context))) {
            m.reads_started[context] = acknowledged_count;
            flush(*m.machine, now);
            drain(id);
        }
    }

    void drain(node_id id) {
        member& m = nodes[id];
        while (m.machine) {
            const outputs out = take_outputs(*m.machine);
            if (out.empty()) {
                return;
            }
            note_leader(*m.machine);
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
            if (!m.machine) {
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
    // Ordered pairs (from, to) that lose everything.
    std::set<std::pair<node_id, node_id>> cut;
    // The naive version: the one list of applied commands, and how many were acknowledged.
    std::vector<std::string> history;
    std::size_t acknowledged_count = 0;
    std::uint64_t violations = 0;
    std::size_t reads_done = 0;
    std::size_t ready_leaders = 0;
    // Times that a node said that it knows the newest, and those of them that were wrong.
    std::size_t claims = 0;
    std::size_t false_claims = 0;
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
        if (found == nodes.end() || !found->second.machine) {
            return;
        }
        if (found->second.frozen) {
            found->second.frozen_inbox.push_back(message);
            return;
        }
        step(*found->second.machine, message, now, rng);
        drain(message.to());
    }

    static void store(member& m, const outputs& out) {
        if (out.hard_state) {
            m.stored.hard = *out.hard_state;
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
                if (cut.contains({message.from(), message.to()}) || chance(rng) < faults.drop) {
                    continue;
                }
                std::uniform_int_distribution<long> delay(1, faults.longest_delay.count());
                wire.push({now + milliseconds(delay(rng)), ++sent, message});
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
            if (awaited[id].erase(e.data()) > 0) {
                acknowledged_count = std::max(acknowledged_count, position + 1);
            }
        }
    }

    void finish_reads(member& m, const outputs& out) {
        m.reads_waiting.insert(m.reads_waiting.end(), out.reads.begin(), out.reads.end());
        std::erase_if(m.reads_waiting, [&](const ready_read& r) {
            if (m.machine->last_delivered < r.index) {
                return false;
            }
            // Served from what is applied here: it must hold all acknowledged before the request.
            violations += m.applied.size() < m.reads_started.at(r.context) ? 1 : 0;
            ++reads_done;
            return true;
        });
    }

    // A leader that is ready to decide has applied all that was acknowledged before its election.
    void check_ready(const member& m) {
        if (ready_to_lead(*m.machine)) {
            violations += m.applied.size() < acknowledged_at_election[m.machine->term] ? 1 : 0;
            ++ready_leaders;
        }
    }

    // What a node says to be the newest holds all that was acknowledged by then, less the age that
    // `is_up_to_date` allows.
    void check_knowledge(const member& m) {
        if (!m.machine || m.frozen || !is_up_to_date(*m.machine, now)) {
            return;
        }
        ++claims;
        const auto later = acknowledged_by.upper_bound(now - 2 * timing{}.election_max);
        if (later != acknowledged_by.begin()) {
            false_claims += m.applied.size() < std::prev(later)->second ? 1 : 0;
        }
    }

    void note_leader(const node& n) {
        if (n.current_role != role::leader) {
            return;
        }
        acknowledged_at_election.try_emplace(n.term, acknowledged_count);
        const auto [known, fresh] = leaders.try_emplace(n.term, n.id);
        violations += known->second != n.id ? 1 : 0;
    }

    void maybe_compact(member& m) {
        node& n = *m.machine;
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

    mutation broken_;
    std::priority_queue<in_flight, std::vector<in_flight>, std::greater<>> wire;
    std::uint64_t sent = 0;
    std::uint64_t last_context = 0;
    std::map<node_id, std::set<std::string>> awaited;
    std::map<term_number, node_id> leaders;
    // Acknowledged commands at the end of each millisecond.
    std::map<time_point, std::size_t> acknowledged_by;
    std::map<term_number, std::size_t> acknowledged_at_election;
};

}  // namespace burdockdeck::consensus::testing
