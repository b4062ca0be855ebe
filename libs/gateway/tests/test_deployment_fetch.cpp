// Tests of deployment fetching: one fetch at a time, choice of the instance, and a fetch of the
// full text after a patch that does not apply.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <set>

#include "deployment_fetch.h"
#include "patch/patch.h"

using namespace burdockdeck;
using namespace burdockdeck::gateway;
using std::chrono::milliseconds;

namespace {

rpc::fetch_deployment_reply reply_with(std::uint64_t version, std::uint64_t base_version,
                                       const std::string& base, const std::string& text) {
    rpc::fetch_deployment_reply reply;
    reply.set_version(version);
    reply.set_base_version(base_version);
    reply.set_patch(value(patch::make(base, text)));
    return reply;
}

}  // namespace

TEST_CASE("only one fetch is under way, and none is started for a version already held") {
    std::mt19937_64 rng(1);
    fetch_state s;
    const time_point now{std::chrono::seconds(5)};
    const std::vector<reported_version> reported{{"a", 4}, {"b", 5}};
    CHECK_FALSE(begin_fetch(s, reported, 6, now, rng));
    REQUIRE(begin_fetch(s, reported, 5, now, rng) == "b");
    CHECK_FALSE(begin_fetch(s, reported, 5, now, rng));
    end_fetch(s, "b", fetch_outcome::applied, now);
    CHECK(begin_fetch(s, reported, 5, now, rng) == "b");
}

// Guards against fetching an older deployment first, from an instance that lags behind.
TEST_CASE("the newest reported version is fetched, older ones only after its instances failed") {
    const time_point now{std::chrono::seconds(5)};
    const std::vector<reported_version> reported{{"behind", 18}, {"newest", 27}, {"nearly", 26}};
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 rng(seed);
        fetch_state s;
        REQUIRE(begin_fetch(s, reported, 1, now, rng) == "newest");
        end_fetch(s, "newest", fetch_outcome::no_reply, now);
        REQUIRE(begin_fetch(s, reported, 1, now, rng) == "nearly");
        end_fetch(s, "nearly", fetch_outcome::confirmed, now);
        CHECK(begin_fetch(s, reported, 26, now, rng) == "nearly");
    }
}

TEST_CASE("gateways spread over the instances and avoid one that failed") {
    fetch_state s;
    time_point now{std::chrono::seconds(5)};
    const std::vector<reported_version> reported{{"a", 5}, {"b", 5}, {"c", 5}};
    std::set<std::string> chosen;
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 rng(seed);
        chosen.insert(*begin_fetch(s, reported, 5, now, rng));
        s.under_way = false;
    }
    CHECK(chosen.size() == 3);
    std::mt19937_64 rng(1);
    std::set<std::string> failed;
    for (int i = 0; i < 3; ++i) {
        const std::string from = *begin_fetch(s, reported, 5, now, rng);
        CHECK(failed.insert(from).second);
        end_fetch(s, from, fetch_outcome::no_reply, now);
    }
    // All instances have just failed: no fetch starts before the retry delay.
    CHECK_FALSE(begin_fetch(s, reported, 5, now, rng));
    CHECK(begin_fetch(s, reported, 5, now + fetch_retry_delay, rng));
}

TEST_CASE("an instance that had nothing newer is not fetched from again before the retry delay") {
    std::mt19937_64 rng(1);
    fetch_state s;
    const time_point now{std::chrono::seconds(5)};
    const std::vector<reported_version> reported{{"a", 5}};
    for (int i = 0; i < 3; ++i) {
        REQUIRE(begin_fetch(s, reported, 5, now + i * fetch_retry_delay, rng));
        end_fetch(s, "a", fetch_outcome::nothing_new, now + i * fetch_retry_delay);
        CHECK_FALSE(begin_fetch(s, reported, 5, now + i * fetch_retry_delay, rng));
    }
    CHECK(s.timeout == initial_fetch_timeout);
}

TEST_CASE("the fetch time-out grows up to its limit until a reply arrives") {
    fetch_state s;
    const time_point now{std::chrono::seconds(5)};
    for (const char* lost : {"a", "b"}) {
        end_fetch(s, lost, fetch_outcome::no_reply, now);
        CHECK(s.timeout == initial_fetch_timeout);
    }
    for (int i = 0; i < 10; ++i) {
        end_fetch(s, "a", fetch_outcome::no_reply, now);
    }
    CHECK(s.timeout == max_fetch_timeout);
    CHECK_FALSE(s.full_text_next);
    end_fetch(s, "a", fetch_outcome::applied, now);
    CHECK(s.timeout == initial_fetch_timeout);
}

TEST_CASE("a reply with a newer version is applied, one with an older version is not") {
    deployment_text t;
    const auto full_text_applied = apply_reply(t, reply_with(3, 0, "", "three"));
    REQUIRE(succeeded(full_text_applied));
    CHECK(value(full_text_applied));
    CHECK(t.text == "three");
    REQUIRE(succeeded(apply_reply(t, reply_with(5, 3, "three", "three and five"))));
    CHECK(t.text == "three and five");
    const auto older = apply_reply(t, reply_with(4, 0, "", "four"));
    REQUIRE(succeeded(older));
    CHECK_FALSE(value(older));
    CHECK(t.version == 5);
}

TEST_CASE("a patch for another text is refused, and the next fetch requests the full text") {
    fetch_state s;
    deployment_text t{3, "three"};
    CHECK_FALSE(succeeded(apply_reply(t, reply_with(5, 4, "four", "five"))));
    CHECK_FALSE(succeeded(apply_reply(
        t, reply_with(5, 3, "not three, and longer than that", "not three, and longer than"))));
    CHECK(t.version == 3);
    end_fetch(s, "a", fetch_outcome::bad_patch, time_point{});
    CHECK(s.full_text_next);
    end_fetch(s, "a", fetch_outcome::applied, time_point{});
    CHECK_FALSE(s.full_text_next);
}
