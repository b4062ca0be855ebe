// Tests of announcements that arrive late, twice or from an earlier incarnation.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "registry/registry.h"

using namespace burdockdeck;
using registry::merge_result;
using schema::upstream_announcement;

namespace {

const time_point start{std::chrono::seconds(100)};

upstream_announcement announce(const std::string& id, std::uint64_t born, std::uint64_t sequence,
                               schema::announced_state state = schema::announced_ready,
                               const std::string& address = "10.0.0.1:80") {
    upstream_announcement a;
    a.set_id(id);
    a.set_born_ms(born);
    a.set_sequence(sequence);
    a.set_service("maps");
    a.set_address(address);
    a.set_state(state);
    return a;
}

schema::announced_state state_of(const registry::registry& r, const std::string& id) {
    return r.upstreams.at(id).latest.state();
}

}  // namespace

TEST_CASE("a late announcement changes nothing") {
    registry::registry r;
    CHECK(merge(r, announce("a", 5, 7), start) == merge_result::changed);
    CHECK(merge(r, announce("a", 5, 6), start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 7), start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 8), start) == merge_result::refreshed);
    CHECK(r.changes == 1);
}

// Guards against many entries of another writer that count as one upstream each.
TEST_CASE("of incarnations with one address and start time only the first is kept") {
    registry::registry r;
    CHECK(merge(r, announce("a", 5, 1), start) == merge_result::changed);
    CHECK(merge(r, announce("b", 5, 1), start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 2), start) == merge_result::refreshed);
    merge(r, announce("a", 5, 3, schema::announced_gone), start);
    CHECK(merge(r, announce("b", 5, 2), start) == merge_result::changed);
}

// Guards against streams of one start of an upstream that count as those of two versions.
TEST_CASE("the software version of an incarnation does not change") {
    registry::registry r;
    upstream_announcement a = announce("a", 5, 1);
    a.set_software_version("v1");
    CHECK(merge(r, a, start) == merge_result::changed);
    a.set_sequence(2);
    a.set_software_version("v2");
    CHECK(merge(r, a, start) == merge_result::refreshed);
    CHECK(r.upstreams.at("a").latest.software_version() == "v1");
    a.set_sequence(3);
    a.set_state(schema::announced_draining);
    CHECK(merge(r, a, start) == merge_result::changed);
    CHECK(state_of(r, "a") == schema::announced_draining);
    CHECK(r.upstreams.at("a").latest.software_version() == "v1");
    a.set_born_ms(6);
    CHECK(merge(r, a, start) == merge_result::changed);
    CHECK(r.upstreams.at("a").latest.software_version() == "v2");
}

// Guards against an update of all gateways for each model that an engine loads or unloads.
TEST_CASE("a change of the models held is told from other changes") {
    registry::registry r;
    upstream_announcement a = announce("a", 5, 1);
    a.add_models()->set_name("m1");
    CHECK(merge(r, a, start) == merge_result::changed);
    a.set_sequence(2);
    a.mutable_models(0)->add_adapters("a1");
    a.add_on_disk("m2");
    CHECK(merge(r, a, start) == merge_result::updated);
    CHECK(changed_since(r, 1).size() == 1);
    a.set_sequence(3);
    CHECK(merge(r, a, start) == merge_result::refreshed);
    a.set_sequence(4);
    a.add_models()->set_name("m3");
    a.set_state(schema::announced_draining);
    CHECK(merge(r, a, start) == merge_result::changed);
    a.set_sequence(1);
    a.set_born_ms(6);
    a.set_state(schema::announced_ready);
    CHECK(merge(r, a, start) == merge_result::changed);
}

TEST_CASE("a draining upstream does not become ready again within the same incarnation") {
    registry::registry r;
    merge(r, announce("a", 5, 1), start);
    merge(r, announce("a", 5, 2, schema::announced_draining), start);
    CHECK(merge(r, announce("a", 5, 3), start) == merge_result::outdated);
    CHECK(state_of(r, "a") == schema::announced_draining);
}

// Guards against a report of a gateway that is lost because a later announcement came first.
TEST_CASE("an upstream that a gateway reports as leaving is draining until it restarts") {
    registry::registry r;
    merge(r, announce("a", 5, 1), start);
    const auto report = withdrawal_of(r, "a", 5);
    REQUIRE(report);
    merge(r, announce("a", 5, 2), start);
    const std::uint64_t known = r.changes;
    CHECK(merge(r, *report, start) == merge_result::changed);
    CHECK(merge(r, *report, start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 3), start) == merge_result::outdated);
    REQUIRE(changed_since(r, known).size() == 1);
    CHECK(changed_since(r, known)[0].state() == schema::announced_draining);
    CHECK_FALSE(withdrawal_of(r, "a", 5));
    merge(r, announce("a", 6, 1), start);
    CHECK(state_of(r, "a") == schema::announced_ready);
    // The report is about an earlier incarnation.
    CHECK_FALSE(withdrawal_of(r, "a", 5));
    CHECK(merge(r, *report, start) == merge_result::outdated);
    CHECK_FALSE(withdrawal_of(r, "b", 5));
}

TEST_CASE("a restart under the same id starts a new sequence") {
    registry::registry r;
    merge(r, announce("a", 5, 90, schema::announced_draining), start);
    CHECK(merge(r, announce("a", 6, 1), start) == merge_result::changed);
    CHECK(state_of(r, "a") == schema::announced_ready);
}

TEST_CASE("a departure may carry the sequence number of the last announcement") {
    registry::registry r;
    merge(r, announce("a", 5, 4), start);
    CHECK(merge(r, announce("a", 5, 4, schema::announced_gone), start) == merge_result::changed);
    CHECK(merge(r, announce("a", 5, 4, schema::announced_gone), start) == merge_result::outdated);
}

TEST_CASE("an address belongs to its newest incarnation") {
    registry::registry r;
    merge(r, announce("old", 5, 4), start);
    merge(r, announce("new", 6, 1), start);
    CHECK(state_of(r, "old") == schema::announced_gone);
    // A late announcement of the older incarnation does not take the address back.
    CHECK(merge(r, announce("old", 5, 5), start) == merge_result::outdated);
    CHECK(merge(r, announce("older", 4, 5), start) == merge_result::outdated);
    CHECK(r.upstreams.count("older") == 0);
}

TEST_CASE("subscribers get only upstreams that changed after their change number") {
    registry::registry r;
    merge(r, announce("a", 5, 1, schema::announced_ready, "10.0.0.1:80"), start);
    const std::uint64_t known = r.changes;
    merge(r, announce("b", 5, 1, schema::announced_ready, "10.0.0.2:80"), start);
    merge(r, announce("a", 5, 2, schema::announced_ready, "10.0.0.1:80"), start);
    const auto changed = changed_since(r, known);
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].id() == "b");
    CHECK(changed_since(r, 0).size() == 2);
}

TEST_CASE("a silent upstream is dropped only after the timeout") {
    registry::registry r;
    merge(r, announce("a", 5, 1), start);
    const duration retention = std::chrono::seconds(60);
    CHECK(expire(r, start + std::chrono::seconds(59), retention, retention).empty());
    CHECK(expire(r, start + std::chrono::seconds(61), retention, retention).size() == 1);
}

TEST_CASE("the final state does not depend on the order of arrival") {
    const unsigned seed = 11;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    std::vector<upstream_announcement> all;
    for (std::uint64_t born = 1; born <= 3; ++born) {
        for (std::uint64_t n = 1; n <= 4; ++n) {
            const auto state = n == 4 ? schema::announced_draining : schema::announced_ready;
            all.push_back(announce("u" + std::to_string(born % 2), born, n, state));
        }
    }
    for (int round = 0; round < 200; ++round) {
        std::shuffle(all.begin(), all.end(), rng);
        registry::registry r;
        for (const upstream_announcement& a : all) {
            merge(r, a, start);
        }
        CHECK(r.upstreams.at("u1").latest.born_ms() == 3);
        CHECK(r.upstreams.at("u1").latest.sequence() == 4);
        CHECK(state_of(r, "u1") == schema::announced_draining);
        if (r.upstreams.count("u0") != 0) {
            CHECK(state_of(r, "u0") != schema::announced_ready);
        }
    }
}
