// Tests that `is_up_to_date` is never true for an outdated state.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "random_faults.h"

using namespace burdockdeck;
using namespace burdockdeck::consensus;
using namespace burdockdeck::consensus::testing;

namespace {

constexpr milliseconds settle_time{5000};

bool reports_up_to_date(const cluster& c, node_id id) {
    const auto& node_state = c.nodes.at(id).node_state;
    return node_state && is_up_to_date(*node_state, c.now);
}

void commit(cluster& c, int commands) {
    for (int i = 0; i < commands; ++i) {
        REQUIRE(c.leader());
        REQUIRE(c.propose_at(*c.leader(), "c" + std::to_string(c.history.size())));
        const std::size_t before = c.acknowledged_count;
        while (c.acknowledged_count == before) {
            c.run_one();
        }
    }
    c.run_for(milliseconds(200));
}

void isolate(cluster& c, node_id id) {
    for (const auto& [other, m] : c.nodes) {
        c.blocked_links.insert({id, other});
        c.blocked_links.insert({other, id});
    }
}

// Freezes `id` while messages from its peers are queued for it, then isolates it, lets the others
// elect a leader and commits entries that `id` does not have.
void freeze_until_outdated(cluster& c, node_id id, node_id old_leader) {
    c.nodes[id].frozen = true;
    c.run_for(milliseconds(150));
    isolate(c, id);
    if (old_leader != id) {
        c.crash(old_leader);
        c.run_for(milliseconds(2000));
        c.start(old_leader);
    }
    c.run_for(settle_time);
    REQUIRE(c.leader());
    commit(c, 3);
    c.run_for(settle_time);
}

}  // namespace

// After a restart of all instances, gateways could otherwise take an older deployment for the
// current one.
TEST_CASE("a restarted cluster does not report its snapshot as up to date") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 5);
        for (node_id id = 1; id <= 3; ++id) {
            c.crash(id);
        }
        for (node_id id = 1; id <= 3; ++id) {
            c.start(id);
        }
        bool all_up_to_date = false;
        while (!all_up_to_date && c.now < time_point(milliseconds(60'000))) {
            c.run_one();
            all_up_to_date = true;
            for (node_id id = 1; id <= 3; ++id) {
                all_up_to_date = all_up_to_date && reports_up_to_date(c, id);
                if (reports_up_to_date(c, id)) {
                    REQUIRE(c.nodes[id].applied.size() == 5);
                }
            }
        }
        CHECK(all_up_to_date);
    }
}

// The follower receives the leader's messages, but not yet the entries that it missed.
TEST_CASE("a follower that lags behind a reachable leader is not up to date") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        c.compact_after = 10;
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 2);
        const node_id stopped = *c.leader() % 3 + 1;
        c.crash(stopped);
        commit(c, 60);
        c.faults.drop = 0.3;
        c.start(stopped);
        while (!reports_up_to_date(c, stopped)) {
            REQUIRE(c.now < time_point(milliseconds(120'000)));
            c.run_one();
        }
        CHECK(c.nodes[stopped].applied.size() == c.history.size());
    }
}

// The messages were queued in a connection while the receiver was frozen, and are outdated.
TEST_CASE("messages queued during a freeze do not make a follower up to date") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 2);
        const node_id leader = *c.leader();
        const node_id follower = leader % 3 + 1;
        CHECK(reports_up_to_date(c, follower));
        freeze_until_outdated(c, follower, leader);
        c.thaw(follower);
        CHECK(!reports_up_to_date(c, follower));
    }
}

// The leader was deposed while it was frozen.
TEST_CASE("replies queued during a freeze do not confirm a leader") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 2);
        const node_id leader = *c.leader();
        CHECK(reports_up_to_date(c, leader));
        freeze_until_outdated(c, leader, leader);
        c.thaw(leader);
        CHECK(!reports_up_to_date(c, leader));
    }
}

// Guards against a deposed leader whose reads are confirmed by a reply to its earlier start: a
// gateway beside it would take a list of software versions for the newest.
TEST_CASE("a reply to a message from before a restart confirms no read") {
    std::mt19937_64 rng(7);
    time_point now{std::chrono::seconds(100)};
    restored_state founding;
    founding.snapshot.set_index(1);
    founding.snapshot.set_term(1);
    founding.hard_state.set_term(1);
    for (node_id id = 1; id <= 3; ++id) {
        founding.snapshot.mutable_members()->add_voters()->set_id(id);
    }
    std::map<node_id, node> nodes;
    for (node_id id = 1; id <= 3; ++id) {
        nodes[id] = create(id, "c", timing{}, founding, now, rng);
    }
    const auto all = [](const schema::raft_message&) { return true; };
    // Delivers messages until there are none, except those that `passes` holds back.
    const auto settle = [&](const auto& passes) {
        std::vector<schema::raft_message> held;
        for (bool sent = true; sent;) {
            sent = false;
            for (auto& [id, n] : nodes) {
                for (const schema::raft_message& m : take_outputs(n).messages) {
                    if (passes(m)) {
                        step(nodes.at(m.to()), m, now, rng);
                        sent = true;
                    } else {
                        held.push_back(m);
                    }
                }
            }
        }
        return held;
    };
    const auto elect = [&](node_id id) {
        const auto no_rival = [id](const schema::raft_message& m) {
            return m.from() == id || m.kind() != schema::pre_vote_request;
        };
        for (int i = 0; i < 200 && nodes.at(id).current_role != role::leader; ++i) {
            now += milliseconds(20);
            for (auto& [other, n] : nodes) {
                tick(n, now, rng);
            }
            settle(no_rival);
        }
        REQUIRE(nodes.at(id).current_role == role::leader);
    };
    elect(1);
    for (std::uint64_t context = 1; context <= 20; ++context) {
        REQUIRE(succeeded(request_read(nodes.at(1), context)));
    }
    flush(nodes.at(1), now);
    const std::vector<schema::raft_message> delayed =
        settle([](const schema::raft_message& m) { return m.to() != 2; });
    REQUIRE_FALSE(delayed.empty());
    restored_state kept = founding;
    kept.hard_state.set_term(nodes.at(1).term);
    kept.hard_state.set_voted_for(1);
    kept.entries = nodes.at(1).log.entries;
    nodes.at(1) = create(1, "c", timing{}, kept, now, rng);
    elect(1);
    for (const schema::raft_message& m : delayed) {
        step(nodes.at(2), m, now, rng);
    }
    settle(all);
    // Nothing reaches the leader any more, so that another one may have been elected.
    REQUIRE(succeeded(request_read(nodes.at(1), 99)));
    flush(nodes.at(1), now);
    CHECK(take_outputs(nodes.at(1)).reads.empty());
    // The leader is heard again.
    now += milliseconds(60);
    tick(nodes.at(1), now, rng);
    for (const schema::raft_message& m : take_outputs(nodes.at(1)).messages) {
        step(nodes.at(m.to()), m, now, rng);
    }
    for (const node_id id : {2, 3}) {
        for (const schema::raft_message& m : take_outputs(nodes.at(id)).messages) {
            step(nodes.at(1), m, now, rng);
        }
    }
    const std::vector<ready_read> confirmed = take_outputs(nodes.at(1)).reads;
    REQUIRE(confirmed.size() == 1);
    CHECK(confirmed[0].context == 99);
}

TEST_CASE("random faults: no outdated node counts as up to date, and after repair all nodes do") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        const int size = seed % 2 == 0 ? 3 : 5;
        cluster c(size, seed);
        int command = 0;
        for (int round = 0; round < 100; ++round) {
            if (c.rng() % 3 == 0) {
                inject_random_fault(c, size);
            }
            for (node_id id = 1; id <= static_cast<node_id>(size); ++id) {
                if (c.rng() % 2 == 0) {
                    (void)c.propose_at(id, "c" + std::to_string(++command));
                }
            }
            c.run_for(milliseconds(1 + c.rng() % 120));
        }
        repair_all(c);
        c.run_for(settle_time);
        CHECK(c.up_to_date_reports > 0);
        CHECK(c.false_up_to_date_reports == 0);
        for (const auto& [id, m] : c.nodes) {
            CHECK(reports_up_to_date(c, id));
        }
    }
}
