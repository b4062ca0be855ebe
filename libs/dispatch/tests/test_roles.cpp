// Tests of the division of engines between short and long prompts.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

#include "dispatch/choice.h"

using namespace burdockdeck;
using namespace burdockdeck::dispatch;

namespace {

// Reserves a third of the engines for short prompts.
const role_settings settings{2000, 0.34, 4};

std::vector<engine_location> engine_locations(std::size_t n) {
    std::vector<engine_location> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back({"10.0.0." + std::to_string(i) + ":80", "d" + std::to_string(i % 3)});
    }
    return out;
}

}  // namespace

TEST_CASE("the division does not depend on the order of the engines") {
    std::vector<engine_location> all = engine_locations(12);
    const std::set<std::string> chosen = short_prompt_engines(all, settings);
    CHECK(chosen.size() == 4);
    std::mt19937 rng(4);
    for (int i = 0; i < 20; ++i) {
        std::shuffle(all.begin(), all.end(), rng);
        CHECK(short_prompt_engines(all, settings) == chosen);
    }
}

TEST_CASE("the division is spread over failure domains") {
    std::map<std::string, int> in_domain;
    const std::vector<engine_location> all = engine_locations(12);
    for (const std::string& address : short_prompt_engines(all, settings)) {
        for (const engine_location& e : all) {
            in_domain[e.failure_domain] += e.address == address ? 1 : 0;
        }
    }
    for (const auto& [domain, count] : in_domain) {
        CHECK(count >= 1);
        CHECK(count <= 2);
    }
}

TEST_CASE("fewer engines than the minimum are not divided") {
    CHECK(short_prompt_engines(engine_locations(3), settings).empty());
}

// Guards against a gateway that hangs because more engines are announced than there are addresses.
TEST_CASE("engines that share an address count as one") {
    std::vector<engine_location> all = engine_locations(6);
    const std::set<std::string> chosen = short_prompt_engines(all, settings);
    for (int i = 0; i < 40; ++i) {
        all.push_back({all[0].address, "d" + std::to_string(i % 3)});
    }
    CHECK(short_prompt_engines(all, settings).size() == chosen.size());
    const std::vector<engine_location> one_address(40, all[0]);
    CHECK(short_prompt_engines(one_address, settings).empty());
    CHECK(short_prompt_engines(engine_locations(5), {2000, 1.0, 4}).size() == 5);
}

TEST_CASE("removing one engine changes the role of few others") {
    const std::vector<engine_location> all = engine_locations(12);
    const std::set<std::string> before = short_prompt_engines(all, settings);
    for (std::size_t gone = 0; gone < all.size(); ++gone) {
        std::vector<engine_location> rest = all;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(gone));
        const std::set<std::string> after = short_prompt_engines(rest, settings);
        const auto changed = std::count_if(after.begin(), after.end(),
                                           [&](const auto& a) { return before.count(a) == 0; });
        CHECK(changed <= 2);
    }
}

TEST_CASE("short and long prompts go to engines of their role, or to any if there is none") {
    // Idle engines of both roles are available: each prompt goes to its role.
    const time_point now{std::chrono::seconds(5)};
    std::mt19937_64 rng(8);
    std::vector<upstream> engines(6);
    std::vector<upstream*> all;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].id = "e" + std::to_string(i);
        engines[i].service = "maps";
        engines[i].slots = 64;
        engines[i].models["m"] = {};
        engines[i].role = i < 2 ? engine_role::short_prompts : engine_role::long_prompts;
        all.push_back(&engines[i]);
    }
    for (std::uint64_t n = 1; n <= 50; ++n) {
        work w;
        w.model = "m";
        w.prompt_tokens = n % 2 == 0 ? 9190 : 826;
        w.parts = {{1, 100}, {n, 100}, {n + 1000, 100}};
        request_view v;
        v.needs = &w;
        v.service = "maps";
        const auto chosen = choose(all, v, {}, now, rng);
        const bool short_engine = chosen->to->role == engine_role::short_prompts;
        CHECK(short_engine == (w.prompt_tokens < 2000));
    }
    // With no engine of its role available, a prompt goes to another role.
    for (upstream& u : engines) {
        u.accepting = u.role == engine_role::long_prompts;
    }
    work w;
    w.model = "m";
    w.prompt_tokens = 826;
    request_view v;
    v.needs = &w;
    v.service = "maps";
    CHECK(choose(all, v, {}, now, rng));
}
