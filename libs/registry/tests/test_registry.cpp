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

// A registry that knows a deployment with the services of these tests.
registry::registry make_registry() {
    registry::registry r;
    (void)set_services(r, {"maps", "mail"});
    return r;
}

schema::announced_state state_of(const registry::registry& r, const std::string& id) {
    return r.upstreams.at({id, "maps"}).latest.state();
}

bool is_active(const registry::registry& r, const std::string& id,
               const std::string& service = "maps") {
    const registry::upstream_entry* e = find_entry(r, {id, service});
    return e != nullptr && e->active;
}

upstream_announcement of_service(const std::string& service, upstream_announcement a) {
    a.set_service(service);
    return a;
}

}  // namespace

TEST_CASE("a late announcement changes nothing") {
    registry::registry r = make_registry();
    CHECK(merge(r, announce("a", 5, 7), start) == merge_result::changed);
    CHECK(merge(r, announce("a", 5, 6), start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 7), start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 8), start) == merge_result::refreshed);
    CHECK(r.changes == 1);
}

// Guards against many entries of another writer that count as one upstream each.
TEST_CASE("of incarnations with one address and start time only the first is kept") {
    registry::registry r = make_registry();
    CHECK(merge(r, announce("a", 5, 1), start) == merge_result::changed);
    CHECK(merge(r, announce("b", 5, 1), start) == merge_result::inactive);
    CHECK_FALSE(is_active(r, "b"));
    CHECK(changed_since(r, 0).size() == 1);
    CHECK(merge(r, announce("a", 5, 2), start) == merge_result::refreshed);
    const std::uint64_t known = r.changes;
    merge(r, announce("a", 5, 3, schema::announced_gone), start);
    CHECK(is_active(r, "b"));
    CHECK(changed_since(r, known).size() == 2);
    CHECK(merge(r, announce("b", 5, 2), start) == merge_result::refreshed);
}

// Guards against streams of one start of an upstream that count as those of two versions.
TEST_CASE("the software version of an incarnation does not change") {
    registry::registry r = make_registry();
    upstream_announcement a = announce("a", 5, 1);
    a.set_software_version("v1");
    CHECK(merge(r, a, start) == merge_result::changed);
    a.set_sequence(2);
    a.set_software_version("v2");
    CHECK(merge(r, a, start) == merge_result::refreshed);
    CHECK(r.upstreams.at({"a", "maps"}).latest.software_version() == "v1");
    a.set_sequence(3);
    a.set_state(schema::announced_draining);
    CHECK(merge(r, a, start) == merge_result::changed);
    CHECK(state_of(r, "a") == schema::announced_draining);
    CHECK(r.upstreams.at({"a", "maps"}).latest.software_version() == "v1");
    a.set_born_ms(6);
    CHECK(merge(r, a, start) == merge_result::changed);
    CHECK(r.upstreams.at({"a", "maps"}).latest.software_version() == "v2");
}

// Guards against an update of all gateways for each model that an engine loads or unloads.
TEST_CASE("a change of the models held is told from other changes") {
    registry::registry r = make_registry();
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
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    merge(r, announce("a", 5, 2, schema::announced_draining), start);
    CHECK(merge(r, announce("a", 5, 3), start) == merge_result::outdated);
    CHECK(state_of(r, "a") == schema::announced_draining);
}

// Guards against a report of a gateway that is lost because a later announcement came first.
TEST_CASE("an upstream that a gateway reports as leaving is draining until it restarts") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    const auto report = withdrawals_of(r, "a", 5);
    REQUIRE(report.size() == 1);
    merge(r, announce("a", 5, 2), start);
    const std::uint64_t known = r.changes;
    CHECK(merge(r, report[0], start) == merge_result::changed);
    CHECK(merge(r, report[0], start) == merge_result::outdated);
    CHECK(merge(r, announce("a", 5, 3), start) == merge_result::outdated);
    REQUIRE(changed_since(r, known).size() == 1);
    CHECK(changed_since(r, known)[0].state() == schema::announced_draining);
    CHECK(withdrawals_of(r, "a", 5).empty());
    merge(r, announce("a", 6, 1), start);
    CHECK(state_of(r, "a") == schema::announced_ready);
    // The report is about an earlier incarnation.
    CHECK(withdrawals_of(r, "a", 5).empty());
    CHECK(merge(r, report[0], start) == merge_result::outdated);
    CHECK(withdrawals_of(r, "b", 5).empty());
}

TEST_CASE("a restart under the same id starts a new sequence") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 90, schema::announced_draining), start);
    CHECK(merge(r, announce("a", 6, 1), start) == merge_result::changed);
    CHECK(state_of(r, "a") == schema::announced_ready);
}

TEST_CASE("a departure may carry the sequence number of the last announcement") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 4), start);
    CHECK(merge(r, announce("a", 5, 4, schema::announced_gone), start) == merge_result::changed);
    CHECK(merge(r, announce("a", 5, 4, schema::announced_gone), start) == merge_result::outdated);
}

TEST_CASE("an address belongs to its newest incarnation") {
    registry::registry r = make_registry();
    merge(r, announce("old", 5, 4), start);
    merge(r, announce("new", 6, 1), start);
    CHECK(is_active(r, "new"));
    CHECK_FALSE(is_active(r, "old"));
    // A late announcement of the older incarnation does not take the address back.
    const std::uint64_t known = r.changes;
    CHECK(merge(r, announce("old", 5, 5), start) == merge_result::inactive);
    CHECK(merge(r, announce("older", 4, 5), start) == merge_result::inactive);
    CHECK_FALSE(is_active(r, "old"));
    CHECK_FALSE(is_active(r, "older"));
    CHECK(is_active(r, "new"));
    CHECK(changed_since(r, known).empty());
}

TEST_CASE("subscribers get only upstreams that changed after their change number") {
    registry::registry r = make_registry();
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
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    const duration retention = std::chrono::seconds(60);
    const registry::retention_times times{retention, retention, retention};
    CHECK(expire(r, start + std::chrono::seconds(59), times).empty());
    CHECK(expire(r, start + std::chrono::seconds(61), times).size() == 1);
    CHECK(r.upstreams.empty());
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
        registry::registry r = make_registry();
        for (const upstream_announcement& a : all) {
            merge(r, a, start);
        }
        CHECK(r.upstreams.at({"u1", "maps"}).latest.born_ms() == 3);
        CHECK(r.upstreams.at({"u1", "maps"}).latest.sequence() == 4);
        CHECK(state_of(r, "u1") == schema::announced_draining);
        CHECK(is_active(r, "u1"));
        CHECK_FALSE(is_active(r, "u0"));
    }
}

// Guards against an entry of another writer that takes a sound upstream's address or id.
TEST_CASE("an announcement of a service that is not deployed displaces no upstream") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    const std::uint64_t known = r.changes;
    for (const schema::announced_state state :
         {schema::announced_ready, schema::announced_draining, schema::announced_gone}) {
        CHECK(merge(r, of_service("archive", announce("x", 9, 1 + state, state)), start) ==
              merge_result::inactive);
        CHECK(merge(r, of_service("archive", announce("a", 9, 1 + state, state)), start) ==
              merge_result::inactive);
        CHECK(is_active(r, "a"));
    }
    CHECK(state_of(r, "a") == schema::announced_ready);
    CHECK(changed_since(r, known).empty());
    CHECK(merge(r, announce("a", 5, 2), start) == merge_result::refreshed);
    // Its departure names only the id.
    for (const upstream_announcement& gone : departures_of(r, "a")) {
        merge(r, gone, start);
    }
    CHECK(state_of(r, "a") == schema::announced_gone);
    REQUIRE(changed_since(r, known).size() == 1);
    CHECK(changed_since(r, known)[0].service() == "maps");
}

// The same, while no process knows a deployment or the upstream yet.
TEST_CASE("what was announced before a deployment is known counts by its services") {
    registry::registry r;
    CHECK(merge(r, of_service("archive", announce("x", 9, 1)), start) == merge_result::changed);
    CHECK(merge(r, announce("a", 5, 1), start) == merge_result::changed);
    CHECK(changed_since(r, 0).size() == 2);
    CHECK_FALSE(is_active(r, "a"));
    const auto activated = set_services(r, {"maps"});
    REQUIRE(activated.size() == 1);
    CHECK(activated[0].id() == "a");
    CHECK(is_active(r, "a"));
    CHECK_FALSE(is_active(r, "x", "archive"));
    REQUIRE(changed_since(r, 0).size() == 1);
}

// Guards against upstreams that have to start again before a service that is declared later has
// them.
TEST_CASE("upstreams count while the deployment names their service") {
    registry::registry r = make_registry();
    const auto archive = [](std::uint64_t sequence) {
        return of_service("archive",
                          announce("x", 5, sequence, schema::announced_ready, "10.0.0.2:80"));
    };
    CHECK(merge(r, archive(1), start) == merge_result::inactive);
    for (int round = 0; round < 3; ++round) {
        const std::uint64_t known = r.changes;
        REQUIRE(set_services(r, {"maps", "archive"}).size() == 1);
        CHECK(is_active(r, "x", "archive"));
        CHECK(changed_since(r, known).size() == 1);
        CHECK(set_services(r, {"maps", "archive"}).empty());
        CHECK(set_services(r, {"maps"}).empty());
        CHECK_FALSE(is_active(r, "x", "archive"));
        CHECK(merge(r, archive(2 + round), start) == merge_result::inactive);
    }
}

TEST_CASE("an address that a replica of another deployed service uses again is its own") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    CHECK(merge(r, of_service("mail", announce("b", 6, 1)), start) == merge_result::changed);
    CHECK(is_active(r, "b", "mail"));
    CHECK_FALSE(is_active(r, "a"));
    // The service is taken out. Only an upstream that went on to announce itself has the address.
    CHECK(set_services(r, {"maps"}).empty());
    CHECK_FALSE(is_active(r, "a"));
    CHECK(merge(r, announce("a", 5, 2), start) == merge_result::changed);
    CHECK(is_active(r, "a"));
    CHECK(set_services(r, {"maps", "mail"}).size() == 1);
    merge(r, announce("a", 5, 3), start);
    CHECK_FALSE(is_active(r, "a"));
    REQUIRE(set_services(r, {"maps"}).size() == 1);
    CHECK(is_active(r, "a"));
}

// Guards against another service's entry that takes over the id of an upstream within its start.
TEST_CASE("an id belongs to the service that was announced first with its start time") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    CHECK(merge(r, of_service("mail", announce("a", 5, 2)), start) == merge_result::inactive);
    CHECK(is_active(r, "a"));
    CHECK(merge(r, of_service("mail", announce("a", 6, 1)), start) == merge_result::changed);
    CHECK_FALSE(is_active(r, "a"));
    CHECK(is_active(r, "a", "mail"));
}

TEST_CASE("entries of other writers are kept in bounded memory and for a bounded time") {
    registry::registry r = make_registry();
    merge(r, announce("a", 5, 1), start);
    for (std::size_t i = 0; i < registry::max_inactive_entries + 100; ++i) {
        const auto at = start + std::chrono::milliseconds(i);
        const std::string id = "x" + std::to_string(i);
        merge(r, of_service("s" + std::to_string(i % 7), announce(id, 9, 1)), at);
    }
    CHECK(r.upstreams.size() == registry::max_inactive_entries + 1);
    CHECK(is_active(r, "a"));
    CHECK(find_entry(r, {"x0", "s0"}) == nullptr);
    upstream_announcement large = of_service("archive", announce("large", 9, 1));
    large.set_failure_domain(std::string(registry::max_inactive_bytes - 100, 'z'));
    merge(r, large, start + std::chrono::minutes(1));
    large.set_id("larger");
    merge(r, large, start + std::chrono::minutes(2));
    CHECK(r.inactive_bytes <= registry::max_inactive_bytes);
    CHECK(is_active(r, "a"));
    const registry::retention_times times{std::chrono::minutes(5), std::chrono::seconds(10),
                                          std::chrono::minutes(5)};
    (void)expire(r, start + std::chrono::minutes(3), times);
    CHECK(r.upstreams.size() == 1);
    CHECK(r.inactive_entries == 0);
    CHECK(r.inactive_bytes == 0);
    CHECK(r.deployed_by_address.size() == 1);
    CHECK(r.keys_by_change.size() == 1);
}

// Guards against a loop that is held by each of many entries at one address.
TEST_CASE("entries of deployed services at one address are bounded") {
    registry::registry r = make_registry();
    merge(r, announce("a", 900, 1), start);
    for (std::uint64_t i = 0; i < 500; ++i) {
        const auto at = start + std::chrono::milliseconds(i);
        const std::string id = "x" + std::to_string(i);
        CHECK(merge(r, announce(id, 1 + i, 1), at) == merge_result::inactive);
    }
    CHECK(r.upstreams.size() == 1 + registry::max_inactive_at_address);
    CHECK(is_active(r, "a"));
    CHECK(find_entry(r, {"x499", "maps"}) != nullptr);
    // A newer start takes the address as ever.
    merge(r, announce("b", 901, 1), start + std::chrono::seconds(1));
    CHECK(is_active(r, "b"));
    CHECK_FALSE(is_active(r, "a"));
    CHECK(r.upstreams.size() == 1 + registry::max_inactive_at_address);
    // The same for entries that were announced before a deployment was known.
    registry::registry started;
    for (std::uint64_t i = 0; i < 500; ++i) {
        merge(started, announce("x" + std::to_string(i), 1 + i, 1), start);
    }
    CHECK(set_services(started, {"maps"}).size() == 1);
    CHECK(is_active(started, "x499"));
    CHECK(started.upstreams.size() == 1 + registry::max_inactive_at_address);
    CHECK(started.inactive_entries == registry::max_inactive_at_address);
    CHECK(started.keys_by_change.size() == started.upstreams.size());
}

TEST_CASE("which entries are active does not depend on the order of events") {
    const unsigned seed = 12;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const std::vector<std::string> services{"maps", "mail", "archive"};
    for (int round = 0; round < 300; ++round) {
        registry::registry r;
        std::vector<upstream_announcement> all;
        for (std::uint64_t born = 1; born <= 12; ++born) {
            const std::string address = "10.0.0." + std::to_string(rng() % 3) + ":80";
            all.push_back(
                of_service(services[rng() % 3], announce("u" + std::to_string(rng() % 6), born, 1,
                                                         schema::announced_ready, address)));
        }
        std::shuffle(all.begin(), all.end(), rng);
        for (const upstream_announcement& a : all) {
            merge(r, a, start);
            if (rng() % 4 == 0) {
                (void)set_services(r, {"maps", services[rng() % 3]});
            }
        }
        (void)set_services(r, {"maps", "mail"});
        // All upstreams go on to announce themselves.
        for (upstream_announcement a : all) {
            a.set_sequence(2);
            merge(r, a, start);
        }
        const auto displaces = [&](const upstream_announcement& other,
                                   const upstream_announcement& a) {
            return other.service() != "archive" && other.born_ms() > a.born_ms() &&
                   (other.id() == a.id() || other.address() == a.address());
        };
        std::size_t inactive = 0;
        for (const auto& [key, e] : r.upstreams) {
            const bool displaced = std::any_of(
                r.upstreams.begin(), r.upstreams.end(),
                [&](const auto& other) { return displaces(other.second.latest, e.latest); });
            CHECK(e.active == (key.service != "archive" && !displaced));
            inactive += e.active ? 0 : 1;
        }
        CHECK(r.inactive_entries == inactive);
        CHECK(r.keys_by_change.size() == r.upstreams.size());
    }
}
