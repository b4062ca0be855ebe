// Tests of the choice of an upstream, compared with a random choice.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "dispatch/choice.h"

using namespace burdockdeck;
using namespace burdockdeck::dispatch;

namespace {

const time_point now{std::chrono::seconds(50)};

struct fleet {
    std::vector<upstream> all;
    std::mt19937_64 rng{3};

    explicit fleet(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i) {
            upstream u;
            u.id = "u" + std::to_string(i);
            u.service = "maps";
            u.failure_domain = i % 2 == 0 ? "east" : "west";
            u.slots = 64;
            u.models["m"] = {};
            all.push_back(u);
        }
    }
    std::vector<upstream*> pointers() {
        std::vector<upstream*> out;
        for (upstream& u : all) {
            out.push_back(&u);
        }
        return out;
    }
};

work generation(std::uint64_t shared_part_id, const std::string& adapter = "") {
    work w;
    w.model = "m";
    w.adapter = adapter;
    w.prompt_tokens = 9190;
    w.output_tokens = 52;
    w.parts = {{1, 2520}, {shared_part_id, 3780}, {shared_part_id * 1000 + 7, 2890}};
    return w;
}

request_view view(const work& w, const std::vector<std::string>* tried = nullptr) {
    request_view v;
    v.needs = &w;
    v.service = "maps";
    v.failure_domain = "east";
    v.tried = tried;
    return v;
}

}  // namespace

TEST_CASE("upstreams that cannot serve are never chosen") {
    fleet f(6);
    f.all[0].accepting = false;
    f.all[1].models.clear();
    f.all[2].leaves_at = now + std::chrono::milliseconds(100);
    f.all[3].service = "orders";
    const std::vector<std::string> tried{"u4"};
    const work w = generation(5);
    const auto all = f.pointers();
    for (int i = 0; i < 50; ++i) {
        const auto chosen = choose(all, view(w, &tried), {}, now, f.rng);
        REQUIRE(chosen);
        CHECK(chosen->to->id == "u5");
    }
    f.all[5].accepting = false;
    CHECK_FALSE(choose(all, view(w, &tried), {}, now, f.rng));
}

// Guards against streams joined from two software versions.
TEST_CASE("an upstream of another software version is never chosen") {
    fleet f(4);
    for (upstream& u : f.all) {
        u.software_version = "v1";
    }
    f.all[2].software_version = "v2";
    f.all[3].software_version = "v2";
    f.all[3].health.ejected_until = now + std::chrono::seconds(1);
    const work w = generation(5);
    const software_set allowed{"v2"};
    request_view v = view(w);
    v.software = &allowed;
    CHECK(obstacle_to(f.all[0], v, now) == obstacle::other_software);
    const auto all = f.pointers();
    for (int i = 0; i < 50; ++i) {
        const auto chosen = choose(all, v, {}, now, f.rng);
        REQUIRE(chosen);
        CHECK(chosen->to->id == "u2");
    }
    f.all[2].accepting = false;
    const auto fallback = choose(all, v, {}, now, f.rng);
    REQUIRE(fallback);
    CHECK(fallback->to->id == "u3");
    f.all[3].accepting = false;
    CHECK_FALSE(choose(all, v, {}, now, f.rng));
    // Any version serves a request that is bound to none.
    v.software = nullptr;
    CHECK(choose(all, v, {}, now, f.rng));
}

// Guards against leaving upstreams taken as a fallback where all others are ejected.
TEST_CASE("a leaving upstream is never chosen") {
    fleet f(3);
    f.all[0].leaving = true;
    f.all[1].health.ejected_until = now + std::chrono::seconds(1);
    f.all[2].accepting = false;
    const work w = generation(5);
    CHECK(obstacle_to(f.all[0], view(w), now) == obstacle::leaving);
    const auto all = f.pointers();
    for (int i = 0; i < 50; ++i) {
        const auto chosen = choose(all, view(w), {}, now, f.rng);
        REQUIRE(chosen);
        CHECK(chosen->to->id == "u1");
    }
    f.all[1].accepting = false;
    CHECK_FALSE(choose(all, view(w), {}, now, f.rng));
}

// Guards against paused upstreams taken as a fallback where all others are ejected.
TEST_CASE("a paused upstream is not chosen before its pause ends") {
    fleet f(3);
    const duration second = std::chrono::seconds(1);
    record_pause(f.all[0], 2 * second, now);
    record_pause(f.all[0], second, now);
    f.all[1].health.ejected_until = now + second;
    f.all[2].accepting = false;
    const work w = generation(5);
    const auto all = f.pointers();
    for (int i = 0; i < 50; ++i) {
        const auto chosen = choose(all, view(w), {}, now + second * 3 / 2, f.rng);
        REQUIRE(chosen);
        CHECK(chosen->to->id == "u1");
    }
    CHECK_FALSE(time_until_resumption(all, view(w), now));
    f.all[1].accepting = false;
    CHECK_FALSE(choose(all, view(w), {}, now, f.rng));
    CHECK(time_until_resumption(all, view(w), now) == 2 * second);
    f.all[1].accepting = true;
    record_pause(f.all[1], second, now);
    CHECK(time_until_resumption(all, view(w), now) == second);
    // A pause of an upstream that could not serve the request says nothing.
    f.all[1].models.clear();
    CHECK(time_until_resumption(all, view(w), now) == 2 * second);
    CHECK(choose(all, view(w), {}, now + 2 * second, f.rng)->to->id == "u0");
}

TEST_CASE("gateways send equal shared prompt parts to the same engine without coordination") {
    const work w = generation(42);
    std::string first;
    for (unsigned gateway = 0; gateway < 8; ++gateway) {
        fleet f(6);
        f.rng.seed(gateway);
        const auto chosen = choose(f.pointers(), view(w), {}, now, f.rng);
        first = first.empty() ? chosen->to->id : first;
        CHECK(chosen->to->id == first);
    }
}

TEST_CASE("prompts with different shared parts spread over the engines") {
    fleet f(6);
    std::map<std::string, int> hits;
    for (std::uint64_t shared_part_id = 1; shared_part_id <= 60; ++shared_part_id) {
        const work w = generation(shared_part_id);
        ++hits[choose(f.pointers(), view(w), {}, now, f.rng)->to->id];
    }
    CHECK(hits.size() == 6);
}

TEST_CASE("cached parts attract work until the backlog of their engine is too long") {
    fleet f(4);
    const work w = generation(9);
    upstream* preferred = choose(f.pointers(), view(w), {}, now, f.rng)->to;
    record_cached(*preferred, w, 261004);
    CHECK(tokens_to_read(*preferred, w) == 1);
    work next = generation(9);
    next.parts[2].id = 1;
    CHECK(tokens_to_read(*preferred, next) == 2890);
    CHECK(choose(f.pointers(), view(next), {}, now, f.rng)->to == preferred);
    preferred->unread_ms = 1000;
    CHECK(choose(f.pointers(), view(next), {}, now, f.rng)->to != preferred);
}

TEST_CASE("least recently used parts are evicted within the engine's memory") {
    fleet f(1);
    upstream& u = f.all[0];
    for (std::uint64_t shared_part_id = 1; shared_part_id <= 100; ++shared_part_id) {
        record_cached(u, generation(shared_part_id), 50000);
        CHECK(u.cached.tokens <= 50000);
    }
    CHECK(tokens_to_read(u, generation(100)) == 1);
    CHECK(tokens_to_read(u, generation(1)) > 2890);
}

TEST_CASE("a cached part is used only if all parts before it match") {
    fleet f(1);
    upstream& u = f.all[0];
    record_cached(u, generation(3), 261004);
    work other = generation(3);
    other.parts[0].id = 99;
    CHECK(tokens_to_read(u, other) == other.prompt_tokens);
}

TEST_CASE("work of one adapter goes to one engine, preferably one that holds the adapter") {
    fleet f(6);
    std::map<std::string, int> hits;
    for (std::uint64_t shared_part_id = 1; shared_part_id <= 40; ++shared_part_id) {
        const work w = generation(shared_part_id, "a3");
        ++hits[choose(f.pointers(), view(w), {}, now, f.rng)->to->id];
    }
    CHECK(hits.size() == 1);
    const std::string holder = hits.begin()->first == "u1" ? "u2" : "u1";
    for (upstream& u : f.all) {
        u.adapters_blocked_until = now + std::chrono::seconds(1);
        if (u.id == holder) {
            u.models["m"].adapters["a3"] = now + std::chrono::seconds(2);
        }
    }
    const work w = generation(50, "a3");
    const auto chosen = choose(f.pointers(), view(w), {}, now, f.rng);
    CHECK(chosen->to->id == holder);
    CHECK_FALSE(chosen->needs_adapter);
}

TEST_CASE("a copy about to be unloaded gets work only if there is no other") {
    fleet f(2);
    const work w = generation(5);
    std::set<std::pair<std::string, std::string>> unloading{{"u0", "m"}};
    request_view v = view(w);
    v.unloading = &unloading;
    for (int i = 0; i < 20; ++i) {
        CHECK(choose(f.pointers(), v, {}, now, f.rng)->to->id == "u1");
    }
    unloading.emplace("u1", "m");
    CHECK(choose(f.pointers(), v, {}, now, f.rng));
}

TEST_CASE("an unreachable upstream is ejected, longer each time, and eligible again afterwards") {
    fleet f(3);
    upstream& bad = f.all[1];
    record_outcome(bad, attempt_outcome::unreachable, 0, now);
    const duration first = bad.health.ejected_until - now;
    record_outcome(bad, attempt_outcome::unreachable, 0, now);
    CHECK(bad.health.ejected_until - now > first);
    const work w = generation(1);
    CHECK(obstacle_to(bad, view(w), now) == obstacle::ejected);
    CHECK(obstacle_to(bad, view(w), bad.health.ejected_until) == obstacle::none);
    record_outcome(bad, attempt_outcome::served, 1, now);
    CHECK(bad.health.failures_in_row == 0);
}

TEST_CASE("when most of a service is ejected, all of it is used") {
    fleet f(4);
    for (std::size_t i = 0; i < 3; ++i) {
        record_outcome(f.all[i], attempt_outcome::unreachable, 0, now);
    }
    std::map<std::string, int> hits;
    for (std::uint64_t shared_part_id = 1; shared_part_id <= 200; ++shared_part_id) {
        const work w = generation(shared_part_id);
        ++hits[choose(f.pointers(), view(w), {}, now, f.rng)->to->id];
    }
    CHECK(hits.size() > 1);
}

TEST_CASE("few requests go to the one engine in six that is ten times slower") {
    // Each request occupies its engine for 100 ms, or 1 s at the slow one. Slowness is observed
    // only when answers arrive. Random choice sends a sixth of the requests to the slow engine.
    const auto late_share = [](bool random_choice) {
        fleet f(6);
        struct running {
            std::size_t engine;
            time_point ends;
            double slowness;
        };
        std::vector<running> in_progress;
        int late = 0;
        const int requests = 2000;
        for (int i = 0; i < requests; ++i) {
            const time_point t = now + i * std::chrono::milliseconds(10);
            std::erase_if(in_progress, [&](const running& r) {
                if (r.ends > t) {
                    return false;
                }
                --f.all[r.engine].in_flight;
                record_outcome(f.all[r.engine], attempt_outcome::served, r.slowness, t);
                return true;
            });
            work w;
            w.model = "m";
            w.prompt_tokens = 100;
            const auto all = f.pointers();
            const auto c = random_choice ? choose_random(all, view(w), t, f.rng)
                                         : choose(all, view(w), {}, t, f.rng);
            const auto index = static_cast<std::size_t>(c->to - f.all.data());
            const bool slow = index == 2;
            ++f.all[index].in_flight;
            in_progress.push_back(
                {index, t + std::chrono::milliseconds(slow ? 1000 : 100), slow ? 10.0 : 1.0});
            late += slow ? 1 : 0;
        }
        return static_cast<double>(late) / requests;
    };
    const double random_choice = late_share(true);
    const double adaptive = late_share(false);
    MESSAGE("late share: random " << random_choice << ", expected time " << adaptive);
    CHECK(random_choice > 0.1);
    CHECK(adaptive < 0.02);
}
