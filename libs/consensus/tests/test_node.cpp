// Tests consensus against the reference model under random faults, and individual edge cases.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "random_faults.h"

using namespace burdockdeck;
using namespace burdockdeck::consensus;
using namespace burdockdeck::consensus::testing;

namespace {

constexpr milliseconds settle_time{5000};

// Runs a cluster with random faults, proposals and reads. Returns the number of safety violations.
std::uint64_t run_with_random_faults(unsigned seed, int size, mutation active_mutation,
                                     int rounds) {
    cluster c(size, seed, active_mutation);
    int command = 0;
    for (int round = 0; round < rounds; ++round) {
        if (c.rng() % 3 == 0) {
            inject_random_fault(c, size);
        }
        for (node_id id = 1; id <= static_cast<node_id>(size); ++id) {
            if (c.rng() % 2 == 0) {
                (void)c.propose_at(id, "c" + std::to_string(++command));
            }
            if (c.rng() % 8 == 0) {
                c.read_at(id);
            }
        }
        c.run_for(milliseconds(1 + c.rng() % 120));
    }
    repair_all(c);
    c.run_for(settle_time);
    if (active_mutation == mutation::none) {
        REQUIRE(c.leader());
        CHECK(c.propose_at(*c.leader(), "last"));
        c.run_for(settle_time);
        c.check_same_history();
        for (const auto& [id, m] : c.nodes) {
            CHECK(m.applied.size() == c.history.size());
        }
        REQUIRE(c.history.size() > 0);
        CHECK(c.history.back() == "last");
    }
    return c.violations;
}

bool replace_lost_voter(cluster& c, node_id lost, node_id replacement) {
    schema::control_member m;
    m.set_id(replacement);
    for (int attempt = 0; attempt < 200; ++attempt) {
        const auto leader = c.leader();
        if (!leader) {
            c.run_for(milliseconds(50));
            continue;
        }
        node& n = *c.nodes[*leader].node_state;
        if (change_complete(n, replacement)) {
            return true;
        }
        (void)add_learner(n, m);
        (void)replace_voter(n, lost, replacement);
        flush(n, c.now);
        c.process_outputs(*leader);
        c.run_for(milliseconds(50));
    }
    return false;
}

}  // namespace

TEST_CASE(
    "random drops, delays, duplicates, crashes, freezes and one-way partitions keep one log") {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        CHECK(run_with_random_faults(seed, seed % 2 == 0 ? 3 : 5, mutation::none, 120) == 0);
    }
}

TEST_CASE("the checks detect each mutation of the protocol") {
    const auto detects = [](mutation active_mutation) {
        std::uint64_t violations = 0;
        for (unsigned seed = 1; seed <= 300 && violations == 0; ++seed) {
            violations += run_with_random_faults(seed, 5, active_mutation, 120);
        }
        return violations > 0;
    };
    CHECK(detects(mutation::vote_twice));
    CHECK(detects(mutation::commit_without_majority));
    CHECK(detects(mutation::skip_log_check));
}

TEST_CASE(
    "a follower that forwarded an acknowledgement keeps the entry if the leader is lost at once") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        REQUIRE(c.run_until_leader(settle_time));
        const node_id leader = *c.leader();
        const node_id follower = leader % 3 + 1;
        REQUIRE(c.propose_at(leader, "change"));
        const node& l = *c.nodes[leader].node_state;
        const log_index index = last_index(l);
        node& f = *c.nodes[follower].node_state;
        while (l.commit < index || last_index(f) < index) {
            c.run_one();
        }
        c.crash(leader);
        // The first two calls must have no effect: an entry of another term at this index is not
        // the committed one, and the next index is not in the log.
        learn_commit(f, index, l.term + 1);
        learn_commit(f, index + 1, l.term);
        learn_commit(f, index, f.term);
        c.process_outputs(follower);
        REQUIRE(!c.nodes[follower].applied.empty());
        CHECK(c.nodes[follower].applied.back() == "change");
        CHECK(c.violations == 0);
    }
}

TEST_CASE("a leader isolated from its majority steps down and confirms no read") {
    cluster c(3, 1);
    REQUIRE(c.run_until_leader(settle_time));
    const node_id old_leader = *c.leader();
    for (const node_id other : {1U, 2U, 3U}) {
        c.blocked_links.insert({old_leader, other});
        c.blocked_links.insert({other, old_leader});
    }
    const std::size_t before = c.reads_done;
    c.read_at(old_leader);
    c.run_for(milliseconds(2000));
    CHECK(c.reads_done == before);
    CHECK(c.nodes[old_leader].node_state->current_role != role::leader);
    CHECK(!in_contact(*c.nodes[old_leader].node_state, c.now));
    REQUIRE(c.leader());
    CHECK(*c.leader() != old_leader);
}

TEST_CASE("a restarted leader is not ready before it has applied all committed entries") {
    cluster c(3, 4);
    REQUIRE(c.run_until_leader(settle_time));
    c.run_for(milliseconds(200));
    (void)c.propose_at(*c.leader(), "kept");
    c.run_for(milliseconds(500));
    for (node_id id = 1; id <= 3; ++id) {
        c.crash(id);
    }
    for (node_id id = 1; id <= 3; ++id) {
        c.start(id);
    }
    bool seen_unready = false;
    while (!(c.leader() && ready_to_lead(*c.nodes[*c.leader()].node_state))) {
        c.run_one();
        seen_unready = seen_unready || (c.leader() && c.nodes[*c.leader()].applied.empty());
    }
    CHECK(seen_unready);
    CHECK(c.nodes[*c.leader()].applied.size() == 1);
    CHECK(c.violations == 0);
    CHECK(c.ready_leaders > 0);
}

TEST_CASE("a node that receives no messages does not raise the term of a healthy cluster") {
    cluster c(3, 2);
    REQUIRE(c.run_until_leader(settle_time));
    const node_id leader = *c.leader();
    const node_id unreachable = leader == 1 ? 2 : 1;
    const term_number term = c.nodes[leader].node_state->term;
    for (const node_id other : {1U, 2U, 3U}) {
        c.blocked_links.insert({other, unreachable});
    }
    c.run_for(milliseconds(5000));
    c.blocked_links.clear();
    c.run_for(milliseconds(2000));
    CHECK(c.leader() == leader);
    CHECK(c.nodes[leader].node_state->term == term);
}

// Guards against needless elections on busy machines: a leader counted its own stall as the silence
// of its majority, and members counted theirs as the silence of the leader.
TEST_CASE("a stall of all machines at once ends no leadership") {
    for (unsigned seed = 1; seed <= 50; ++seed) {
        cluster c(5, seed);
        REQUIRE(c.run_until_leader(settle_time));
        c.run_for(milliseconds(500));
        const node_id leader = *c.leader();
        const term_number term = c.nodes[leader].node_state->term;
        for (auto& [id, m] : c.nodes) {
            m.frozen = true;
        }
        c.run_for(milliseconds(200 + 20 * seed));
        for (auto& [id, m] : c.nodes) {
            c.resume_with_timers_first(id);
        }
        c.run_for(milliseconds(1000));
        CHECK(c.leader() == leader);
        CHECK(c.nodes[leader].node_state->term == term);
        CHECK(c.violations == 0);
    }
}

// Guards against members that wait forever for a dead leader because they are stalled again and
// again.
TEST_CASE("members that run for a third of the time elect a new leader") {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        cluster c(5, seed);
        REQUIRE(c.run_until_leader(settle_time));
        c.run_for(milliseconds(500));
        const node_id leader = *c.leader();
        c.crash(leader);
        milliseconds waited{0};
        while (!c.leader() && waited < milliseconds(8000)) {
            for (auto& [id, m] : c.nodes) {
                m.frozen = m.node_state.has_value();
            }
            c.run_for(milliseconds(400));
            for (auto& [id, m] : c.nodes) {
                if (m.node_state) {
                    c.resume_with_timers_first(id);
                }
            }
            c.run_for(milliseconds(200));
            waited += milliseconds(600);
        }
        CHECK(c.leader().has_value());
        CHECK(c.violations == 0);
    }
}

TEST_CASE("a node that lost its disk neither votes nor counts towards a quorum") {
    cluster c(3, 3);
    REQUIRE(c.run_until_leader(settle_time));
    (void)c.propose_at(*c.leader(), "kept");
    c.run_for(milliseconds(200));
    const node_id leader = *c.leader();
    const node_id lost = leader == 1 ? 2 : 1;
    const node_id third = 6 - leader - lost;
    c.wipe(lost);
    // With an empty disk the instance gets the new node id 9 and ignores messages to its old id.
    c.add_empty(9);
    c.crash(third);
    c.run_for(milliseconds(5000));
    CHECK(!c.leader());
    CHECK(c.nodes[9].node_state->term == 0);
    c.start(third);
    CHECK(c.run_until_leader(settle_time));
    CHECK(c.history.front() == "kept");
}

TEST_CASE("the loss of a second voter right after a completed replacement loses no entry") {
    for (unsigned seed = 1; seed <= 25; ++seed) {
        CAPTURE(seed);
        cluster c(3, seed);
        c.faults = {0.1, 0.1, milliseconds(30)};
        REQUIRE(c.run_until_leader(settle_time));
        for (int i = 0; i < 60; ++i) {
            (void)c.propose_at(c.leader().value_or(1), "a" + std::to_string(i));
            c.run_for(milliseconds(20));
        }
        const node_id leader = c.leader().value_or(1);
        const node_id lost = leader == 3 ? 1 : 3;
        c.wipe(lost);
        c.add_empty(4);
        REQUIRE(replace_lost_voter(c, lost, 4));
        const node_id survivor = 6 - lost - leader;
        const std::size_t acknowledged = c.acknowledged_count;
        // Lose a second instance once the replacement is complete: the leader or the follower.
        c.wipe(seed % 2 == 0 ? leader : survivor);
        REQUIRE(c.run_until_leader(settle_time));
        c.run_for(milliseconds(1000));
        (void)c.propose_at(*c.leader(), "after");
        c.faults = {};
        c.run_for(milliseconds(2000));
        CHECK(c.violations == 0);
        const member& now_leading = c.nodes[*c.leader()];
        CHECK(now_leading.applied.size() > acknowledged);
        c.check_same_history();
    }
}

TEST_CASE("a membership change survives the loss of the leader while it is in progress") {
    for (unsigned seed = 1; seed <= 25; ++seed) {
        CAPTURE(seed);
        cluster c(5, seed);
        REQUIRE(c.run_until_leader(settle_time));
        const node_id leader = *c.leader();
        const node_id lost = leader == 5 ? 1 : 5;
        c.wipe(lost);
        c.add_empty(6);
        // Membership changes are refused until the leader's first entry is committed.
        c.run_for(milliseconds(100));
        schema::control_member m;
        m.set_id(6);
        node& n = *c.nodes[leader].node_state;
        REQUIRE(succeeded(add_learner(n, m)));
        flush(n, c.now);
        c.process_outputs(leader);
        c.run_for(milliseconds(300));
        REQUIRE(succeeded(replace_voter(n, lost, 6)));
        flush(n, c.now);
        c.process_outputs(leader);
        c.run_for(milliseconds(seed % 12));
        c.crash(leader);
        REQUIRE(c.run_until_leader(settle_time));
        REQUIRE(replace_lost_voter(c, lost, 6));
        c.run_for(milliseconds(500));
        for (const auto& [id, each] : c.nodes) {
            if (each.node_state) {
                CHECK(members_of(*each.node_state).outgoing().empty());
                CHECK(is_voter(*each.node_state, 6));
                CHECK(!is_voter(*each.node_state, lost));
            }
        }
        CHECK(c.violations == 0);
    }
}

TEST_CASE("a node without a configuration starts no election") {
    cluster c(1, 1);
    c.add_empty(7);
    c.run_for(milliseconds(10000));
    CHECK(c.nodes[7].node_state->current_role == role::follower);
    CHECK(c.nodes[7].node_state->term == 0);
}

TEST_CASE("a single voter commits at once, and a follower that lags far behind gets a snapshot") {
    cluster single(1, 1);
    REQUIRE(single.run_until_leader(settle_time));
    (void)single.propose_at(1, "x");
    CHECK(single.history.size() == 1);
    cluster c(3, 5);
    REQUIRE(c.run_until_leader(settle_time));
    const node_id stopped = *c.leader() == 1 ? 2 : 1;
    c.crash(stopped);
    for (int i = 0; i < 300; ++i) {
        (void)c.propose_at(*c.leader(), "c" + std::to_string(i));
        c.run_for(milliseconds(10));
    }
    c.start(stopped);
    c.run_for(milliseconds(3000));
    CHECK(c.nodes[stopped].applied.size() == 300);
    CHECK(c.nodes[stopped].node_state->log.base_index > 1);
}
