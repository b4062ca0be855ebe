// What a node says of its own knowledge: "the newest" must not be an older state.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "random_faults.h"

using namespace burdockdeck;
using namespace burdockdeck::consensus;
using namespace burdockdeck::consensus::testing;

namespace {

constexpr milliseconds settle_time{5000};

bool claims_newest(const cluster& c, node_id id) {
    const auto& machine = c.nodes.at(id).machine;
    return machine && is_up_to_date(*machine, c.now);
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

void cut_off(cluster& c, node_id id) {
    for (const auto& [other, m] : c.nodes) {
        c.cut.insert({id, other});
        c.cut.insert({other, id});
    }
}

// Freezes `id` with messages of its peers waiting, and lets the others go on without it.
void freeze_and_leave_behind(cluster& c, node_id id, node_id old_leader) {
    c.nodes[id].frozen = true;
    c.run_for(milliseconds(150));
    cut_off(c, id);
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

// Guards against an older deployment that gateways take for the newest after all instances were
// restarted.
TEST_CASE("a restarted cluster does not take its snapshot for the newest state") {
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
        bool all_claim = false;
        while (!all_claim && c.now < time_point(milliseconds(60'000))) {
            c.run_one();
            all_claim = true;
            for (node_id id = 1; id <= 3; ++id) {
                all_claim = all_claim && claims_newest(c, id);
                if (claims_newest(c, id)) {
                    REQUIRE(c.nodes[id].applied.size() == 5);
                }
            }
        }
        CHECK(all_claim);
    }
}

// Guards against a follower that is told of by its leader, but has not received what it missed.
TEST_CASE("a follower that hears its leader but lags behind does not know the newest") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        c.compact_after = 10;
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 2);
        const node_id away = *c.leader() % 3 + 1;
        c.crash(away);
        commit(c, 60);
        c.faults.drop = 0.3;
        c.start(away);
        while (!claims_newest(c, away)) {
            REQUIRE(c.now < time_point(milliseconds(120'000)));
            c.run_one();
        }
        CHECK(c.nodes[away].applied.size() == c.history.size());
    }
}

// Guards against messages that waited in a connection while their receiver stood still.
TEST_CASE("what arrived during a freeze does not show a follower what is newest") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 2);
        const node_id leader = *c.leader();
        const node_id follower = leader % 3 + 1;
        CHECK(claims_newest(c, follower));
        freeze_and_leave_behind(c, follower, leader);
        c.thaw(follower);
        CHECK(!claims_newest(c, follower));
    }
}

// Guards against a leader that was deposed while it stood still.
TEST_CASE("replies that arrived during a freeze do not show a leader that it still leads") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        REQUIRE(c.run_until_leader(settle_time));
        commit(c, 2);
        const node_id leader = *c.leader();
        CHECK(claims_newest(c, leader));
        freeze_and_leave_behind(c, leader, leader);
        c.thaw(leader);
        CHECK(!claims_newest(c, leader));
    }
}

TEST_CASE("random faults: nobody takes an old state for the newest, and all know it in the end") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        const int size = seed % 2 == 0 ? 3 : 5;
        cluster c(size, seed);
        int command = 0;
        for (int round = 0; round < 100; ++round) {
            if (c.rng() % 3 == 0) {
                disturb(c, size);
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
        CHECK(c.claims > 0);
        CHECK(c.false_claims == 0);
        for (const auto& [id, m] : c.nodes) {
            CHECK(claims_newest(c, id));
        }
    }
}
