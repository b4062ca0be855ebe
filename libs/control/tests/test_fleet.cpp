// Tests the leader's decisions in virtual time: leases, adapter shares across failovers, permits
// for the weight store.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "catalog/catalog.h"
#include "fleet.h"

using namespace burdockdeck;
using namespace burdockdeck::control;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t adapter_limit = 40;

schema::catalog_state state_with(int agents) {
    schema::catalog_state s;
    s.set_environment("production");
    auto& limits = *s.mutable_current()->mutable_document()->mutable_limits();
    s.mutable_current()->set_revision(1);
    limits.set_adapters_in_flight(adapter_limit);
    limits.set_weight_loads_at_once(2);
    limits.set_weight_loads_per_second(2.0);
    for (int i = 0; i < agents; ++i) {
        schema::command c;
        auto& r = *c.mutable_register_agent()->mutable_registration();
        r.set_name("a" + std::to_string(i));
        r.set_incarnation(1);
        r.set_slots(4);
        (void)catalog::apply(s, c);
    }
    return s;
}

rpc::renew_request renewal(const std::string& agent, std::uint32_t in_force, std::uint32_t wanted) {
    rpc::renew_request r;
    r.set_agent(agent);
    r.set_incarnation(1);
    r.set_adapter_share_in_force(in_force);
    r.set_adapters_wanted(wanted);
    return r;
}

// An agent's own view of its share, which it may use until the end of its lease by its own clock.
struct holder {
    std::uint32_t share = 0;
    time_point valid_until{};
    std::uint32_t usable(time_point now) const {
        return now < valid_until ? share : 0;
    }
};

}  // namespace

TEST_CASE("an agent expires only after a full lease, also under a new leader") {
    const schema::catalog_state s = state_with(2);
    fleet f;
    time_point now{};
    begin_leading(f, s, now);
    now += f.settings.agent_lease;
    CHECK(expired_agents(f, s, now).empty());
    CHECK(renew(f, s, renewal("a0", 0, 0), now).status() == rpc::renew_reply::renewed);
    now += milliseconds(1);
    REQUIRE(expired_agents(f, s, now).size() == 1);
    CHECK(expired_agents(f, s, now)[0].agent() == "a1");
    begin_leading(f, s, now);
    CHECK(expired_agents(f, s, now).empty());
}

TEST_CASE("renewals of superseded and unknown agents are answered with their status") {
    schema::catalog_state s = state_with(1);
    fleet f;
    CHECK(renew(f, s, renewal("new", 0, 0), time_point{}).status() ==
          rpc::renew_reply::unregistered);
    s.mutable_agents()->at("a0").mutable_registration()->set_incarnation(2);
    CHECK(renew(f, s, renewal("a0", 0, 0), time_point{}).status() == rpc::renew_reply::superseded);
}

TEST_CASE("shares never exceed the limit despite failovers and lost answers, and 90% is usable") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 rng(seed);
        schema::catalog_state s = state_with(4);
        fleet f;
        // Short leases, so that they often expire while an agent is silent.
        f.settings.agent_lease = seconds(2);
        f.settings.share_lease = seconds(3);
        f.settings.share_drift = milliseconds(100);
        time_point now{};
        begin_leading(f, s, now);
        std::map<std::string, holder> holders;
        std::map<std::string, std::uint32_t> wants;
        std::map<std::string, time_point> silent_until;
        for (int step = 0; step < 600; ++step) {
            now += milliseconds(100);
            const std::string agent = "a" + std::to_string(rng() % 4);
            holder& h = holders[agent];
            if (rng() % 50 == 0) {
                wants[agent] = static_cast<std::uint32_t>(rng() % 60);
            }
            if (rng() % 150 == 0) {
                silent_until[agent] = now + seconds(rng() % 8);
            }
            if (rng() % 10 != 0 && now >= silent_until[agent]) {
                const time_point sent = now;
                const auto reply = renew(f, s, renewal(agent, h.usable(now), wants[agent]), now);
                const bool answer_arrives = rng() % 5 != 0;
                if (answer_arrives && reply.status() == rpc::renew_reply::renewed) {
                    h.share = reply.adapter_share();
                    h.valid_until = sent + milliseconds(reply.share_lease_ms());
                }
            }
            if (rng() % 80 == 0) {
                begin_leading(f, s, now);
            }
            for (const auto& e : expired_agents(f, s, now)) {
                schema::command c;
                *c.mutable_expire() = e;
                (void)catalog::apply(s, c);
            }
            for (const auto& change : share_changes(f, s, now)) {
                schema::command c;
                *c.mutable_share() = change;
                (void)catalog::apply(s, c);
            }
            std::uint32_t usable = 0;
            for (const auto& [name, each] : holders) {
                usable += each.usable(now);
            }
            CHECK(usable <= adapter_limit);
        }
    }
    schema::catalog_state s = state_with(4);
    fleet f;
    time_point now{};
    begin_leading(f, s, now);
    std::uint32_t share = 0;
    for (int step = 0; step < 40; ++step) {
        now += milliseconds(200);
        for (int i = 0; i < 4; ++i) {
            const bool busy = i == 2;
            const auto reply =
                renew(f, s, renewal("a" + std::to_string(i), busy ? share : 1, busy ? 80 : 0), now);
            share = busy ? reply.adapter_share() : share;
        }
        for (const auto& change : share_changes(f, s, now)) {
            schema::command c;
            *c.mutable_share() = change;
            (void)catalog::apply(s, c);
        }
    }
    CHECK(share >= adapter_limit * 9 / 10);
}

TEST_CASE("weight store: rate and concurrency limits are kept, and permits expire") {
    schema::catalog_state s = state_with(1);
    fleet f;
    time_point now{};
    begin_leading(f, s, now);
    int granted = 0;
    for (int tick = 0; tick < 100; ++tick) {
        now += milliseconds(100);
        const std::string order = "o" + std::to_string(tick);
        if (decide_permit(f, s, order, now).decision == permit_decision::propose) {
            schema::command c;
            c.mutable_permit()->set_order_id(order);
            c.mutable_permit()->set_agent("a0");
            c.mutable_permit()->set_incarnation(1);
            granted += catalog::apply(s, c).status() == schema::status_done ? 1 : 0;
        }
        CHECK(expired_permits(f, s, now).empty());
    }
    CHECK(granted == 2);
    // A new leader finds the permits in the catalog and starts a full lease for each.
    begin_leading(f, s, now);
    CHECK(expired_permits(f, s, now).empty());
    now += f.settings.permit_lease;
    CHECK(expired_permits(f, s, now).size() == 2);
    s.mutable_permits()->clear();
    granted = 0;
    for (int tick = 0; tick < 100; ++tick) {
        now += milliseconds(100);
        granted += decide_permit(f, s, "p" + std::to_string(tick), now).decision ==
                           permit_decision::propose
                       ? 1
                       : 0;
    }
    CHECK(granted <= 21);
    CHECK(granted >= 19);
}
