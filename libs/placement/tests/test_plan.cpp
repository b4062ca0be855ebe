// Tests of the assignment planner's rules, also on random fleets and documents; failures report the
// seed.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>
#include <set>

#include "placement/plan.h"

using namespace burdockdeck;
using namespace burdockdeck::placement;

namespace {

schema::model model_of(const std::string& name, const std::string& version, unsigned memory,
                       unsigned low, unsigned high) {
    schema::model m;
    m.set_name(name);
    m.set_version(version);
    m.set_memory_mb(memory);
    m.set_min_replicas(low);
    m.set_max_replicas(high);
    return m;
}

agent_view agent_of(const std::string& name, const std::string& domain, unsigned memory) {
    agent_view a;
    a.name = name;
    a.failure_domain = domain;
    a.memory_mb = memory;
    return a;
}

unsigned memory_of(const schema::document& d, const std::set<model_version>& held) {
    unsigned total = 0;
    for (const model_version& i : held) {
        for (const schema::model& m : d.models()) {
            total += m.name() == i.model ? m.memory_mb() : 0;
        }
    }
    return total;
}

// Independent check that the assigned and resident models together fit each agent's memory.
void check_memory(const schema::document& d, const std::vector<agent_view>& fleet) {
    for (const agent_view& a : fleet) {
        std::set<model_version> all(a.assigned.begin(), a.assigned.end());
        all.insert(a.resident.begin(), a.resident.end());
        CHECK(memory_of(d, all) <= a.memory_mb);
    }
}

void apply_changes(const plan_result& p, std::vector<agent_view>& fleet) {
    for (const assignment& c : p.changes) {
        std::find_if(fleet.begin(), fleet.end(), [&](const agent_view& a) {
            return a.name == c.agent;
        })->assigned = c.assigned;
    }
}

// Completes one pending unload or load at a random agent. False if none is pending.
bool complete_one_change(std::vector<agent_view>& fleet, std::mt19937_64& rng) {
    std::shuffle(fleet.begin(), fleet.end(), rng);
    for (agent_view& a : fleet) {
        for (auto r = a.resident.begin(); r != a.resident.end(); ++r) {
            if (std::find(a.assigned.begin(), a.assigned.end(), *r) == a.assigned.end()) {
                a.resident.erase(r);
                return true;
            }
        }
        for (const model_version& i : a.assigned) {
            if (std::find(a.resident.begin(), a.resident.end(), i) == a.resident.end()) {
                a.resident.push_back(i);
                return true;
            }
        }
    }
    return false;
}

std::set<std::string> reachable(const std::vector<agent_view>& fleet) {
    std::set<std::string> models;
    for (const agent_view& a : fleet) {
        for (const model_version& i : a.resident) {
            models.insert(i.model);
        }
    }
    return models;
}

}  // namespace

TEST_CASE("replicas spread over failure domains") {
    schema::document d;
    *d.add_models() = model_of("m", "1", 10, 3, 3);
    const std::vector<agent_view> fleet{agent_of("a1", "A", 100), agent_of("a2", "A", 100),
                                        agent_of("b1", "B", 50), agent_of("c1", "C", 20)};
    planner_state state;
    const plan_result p = plan(d, fleet, {}, {}, state, time_point{});
    REQUIRE(p.changes.size() == 3);
    std::set<char> domains;
    for (const assignment& c : p.changes) {
        domains.insert(c.agent[0]);
    }
    CHECK(domains.size() == 3);
}

TEST_CASE("a version change on full accelerators needs a second replica, otherwise it is refused") {
    schema::document one;
    *one.add_models() = model_of("m", "1", 60, 1, 2);
    schema::document two;
    *two.add_models() = model_of("m", "2", 60, 1, 2);
    agent_view a = agent_of("a", "A", 100);
    a.assigned = a.resident = {{"m", "1"}};
    agent_view b = agent_of("b", "B", 100);
    b.assigned = b.resident = {{"m", "1"}};
    CHECK(try_document(one, two, {a, b}).fits);
    const trial_result alone = try_document(one, two, {a});
    CHECK(!alone.fits);
    CHECK(alone.reason.find("`m`") != std::string::npos);
}

TEST_CASE("the refusal of a document that does not fit names the model") {
    schema::document d;
    *d.add_models() = model_of("big", "1", 80, 2, 2);
    const trial_result t = try_document({}, d, {agent_of("a", "A", 100), agent_of("b", "B", 70)});
    CHECK(!t.fits);
    CHECK(t.reason.find("`big`") != std::string::npos);
}

TEST_CASE("a loaded version that is redeclared larger than its agent's memory is refused") {
    schema::document one;
    *one.add_models() = model_of("m", "1", 30, 1, 1);
    schema::document two;
    *two.add_models() = model_of("m", "1", 500, 1, 1);
    agent_view a = agent_of("a", "A", 100);
    a.assigned = a.resident = {{"m", "1"}};
    const trial_result t = try_document(one, two, {a});
    CHECK(!t.fits);
    CHECK(t.reason.find("`a`") != std::string::npos);
}

TEST_CASE("scale-up is immediate, a short drop in demand changes nothing, scale-down is delayed") {
    schema::document d;
    *d.add_models() = model_of("m", "1", 10, 1, 4);
    std::vector<agent_view> fleet{agent_of("a", "A", 100), agent_of("b", "B", 100),
                                  agent_of("c", "C", 100)};
    planner_state state;
    std::mt19937_64 rng(1);
    const plan_settings settings;
    time_point now{};
    const auto run = [&](double load) {
        const plan_result p = plan(d, fleet, {{"m", load}}, settings, state, now);
        apply_changes(p, fleet);
        while (complete_one_change(fleet, rng)) {
        }
        return p.changes.size();
    };
    CHECK(run(1.3) == 2);
    now += std::chrono::seconds(10);
    CHECK(run(0.1) == 0);
    now += settings.scale_down_after;
    CHECK(run(0.1) == 1);
}

TEST_CASE("random fleets and documents: memory limits and reachability hold, plans converge") {
    for (unsigned seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 rng(seed);
        const auto pick = [&](int low, int high) {
            return std::uniform_int_distribution<int>(low, high)(rng);
        };
        std::vector<agent_view> fleet;
        const int agents = pick(3, 8);
        for (int i = 0; i < agents; ++i) {
            fleet.push_back(agent_of("a" + std::to_string(i), std::string(1, "ABC"[i % 3]), 200));
        }
        schema::document d;
        for (int i = 0; i < pick(2, 8); ++i) {
            *d.add_models() = model_of("m" + std::to_string(i), "1", pick(10, 60), 1, 3);
        }
        planner_state state;
        for (int round = 0; round < 12; ++round) {
            for (schema::model& m : *d.mutable_models()) {
                if (pick(0, 5) == 0) {
                    m.set_version(std::to_string(pick(1, 9)));
                }
            }
            const std::set<std::string> before = reachable(fleet);
            for (int step = 0; step < 30; ++step) {
                demand_by_model demand;
                for (const schema::model& m : d.models()) {
                    demand[m.name()] = pick(0, 30) / 10.0;
                }
                apply_changes(plan(d, fleet, demand, {}, state, time_point{}), fleet);
                check_memory(d, fleet);
                (void)complete_one_change(fleet, rng);
                const std::set<std::string> after = reachable(fleet);
                CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
            }
        }
        for (int step = 0; step < 200; ++step) {
            apply_changes(plan(d, fleet, {}, {}, state, time_point{}), fleet);
            (void)complete_one_change(fleet, rng);
        }
        CHECK(reachable(fleet).size() == static_cast<std::size_t>(d.models_size()));
    }
}

TEST_CASE("one plan for 1600 models on 2000 agents takes under 100 ms") {
    schema::document d;
    for (int i = 0; i < 1600; ++i) {
        *d.add_models() = model_of("m" + std::to_string(i), "1", 10 + i % 50, 1, 8);
    }
    std::vector<agent_view> fleet;
    for (int i = 0; i < 2000; ++i) {
        fleet.push_back(agent_of("a" + std::to_string(i), std::to_string(i % 9), 160));
    }
    planner_state state;
    std::mt19937_64 rng(1);
    apply_changes(plan(d, fleet, {}, {}, state, time_point{}), fleet);
    while (complete_one_change(fleet, rng) && rng() % 4096 != 0) {
    }
    for (agent_view& a : fleet) {
        a.resident = a.assigned;
    }
    demand_by_model demand;
    for (int i = 0; i < 1600; i += 10) {
        demand["m" + std::to_string(i)] = 2.0;
    }
    const std::clock_t start = std::clock();
    const plan_result p = plan(d, fleet, demand, {}, state, time_point{});
    const double elapsed_ms = 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    MESSAGE("plan of " << p.changes.size() << " changes took " << elapsed_ms
                       << " ms of processor time");
    CHECK(p.changes.size() > 100);
#ifndef __SANITIZE_ADDRESS__
    CHECK(elapsed_ms < 100.0);
#endif
}
