// Tests of requests whose model no upstream holds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "dispatch/absence.h"

using namespace burdockdeck;
using namespace burdockdeck::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point now{seconds(50)};

upstream engine(const std::string& id, const std::string& model) {
    upstream u;
    u.id = id;
    u.service = "maps";
    u.models[model] = {};
    return u;
}

}  // namespace

TEST_CASE("a model is absent if engines accept requests and none of them holds it") {
    upstream a = engine("a", "m");
    upstream b = engine("b", "n");
    const std::vector<upstream*> all{&a, &b};
    work w;
    w.model = "m";
    request_view r;
    r.needs = &w;
    r.service = "maps";
    CHECK_FALSE(is_model_absent(all, r, now));
    // The only copy belongs to an engine that leaves.
    a.leaving = true;
    CHECK(is_model_absent(all, r, now));
    a.leaving = false;
    // An ejected or paused copy is still a copy.
    a.health.ejected_until = now + seconds(1);
    CHECK_FALSE(is_model_absent(all, r, now));
    w.model = "x";
    CHECK(is_model_absent(all, r, now));
    // Without any engine the gateway knows nothing of models.
    a.accepting = false;
    b.accepting = false;
    CHECK_FALSE(is_model_absent(all, r, now));
}

// Pattern: all callers of a model arrive while it is nowhere. None may be held to its end.
TEST_CASE("a request is held only for a load that ends before its caller leaves") {
    const duration patience = seconds(2);
    const duration arrived_now{};
    model_return m;
    m.load_estimate = milliseconds(7300);
    SUBCASE("no load is known, and none could end in time") {
        const absence_decision d = decide_absence(m, patience, arrived_now, now);
        CHECK_FALSE(d.hold);
        CHECK(d.retry_after >= m.load_estimate);
        CHECK(d.retry_after <= m.load_estimate + milliseconds(300));
    }
    SUBCASE("a load would end in time, but the planner orders none") {
        m.load_estimate = milliseconds(1200);
        CHECK(decide_absence(m, patience, arrived_now, now).hold);
        CHECK(decide_absence(m, patience - milliseconds(400), milliseconds(400), now).hold);
        CHECK_FALSE(decide_absence(m, patience - milliseconds(800), milliseconds(800), now).hold);
    }
    SUBCASE("the load ends soon") {
        m.expected_at = now + seconds(1);
        CHECK(decide_absence(m, patience, arrived_now, now).hold);
    }
    SUBCASE("the load ends after the caller has left") {
        m.expected_at = now + milliseconds(4200);
        const absence_decision d = decide_absence(m, patience, arrived_now, now);
        CHECK_FALSE(d.hold);
        CHECK(d.retry_after >= milliseconds(4200));
        CHECK(d.retry_after <= milliseconds(4500));
        // A caller that waits longer is held.
        CHECK(decide_absence(m, seconds(16), arrived_now, now).hold);
    }
    SUBCASE("the load is late") {
        m.expected_at = now - seconds(1);
        CHECK(decide_absence(m, patience, arrived_now, now).hold);
        CHECK_FALSE(decide_absence(m, milliseconds(100), milliseconds(1900), now).hold);
    }
}

TEST_CASE("the estimate follows the nearest place with the weights") {
    upstream a = engine("a", "n");
    upstream b = engine("b", "n");
    const std::vector<upstream*> all{&a, &b};
    const auto estimate = [&] {
        return estimate_load(all, "m", milliseconds(400), milliseconds(1200), milliseconds(5800));
    };
    const duration from_store = estimate();
    a.weights_on_disk.insert("m");
    const duration from_disk = estimate();
    b.weights_in_memory.insert("m");
    const duration from_memory = estimate();
    CHECK(from_store - from_disk == milliseconds(4600));
    CHECK(from_disk - from_memory == milliseconds(800));
    b.accepting = false;
    CHECK(estimate() == from_disk);
}
