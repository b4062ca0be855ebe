// Tests of the replicated state machine: racing operators, at most one start per claim key, limits
// on shares and permits, and table updates, compared with reference models under random commands.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

#include "catalog/catalog.h"

using namespace burdockdeck;
using schema::catalog_state;
using schema::command;
using schema::command_reply;

namespace {

catalog_state fresh_state() {
    catalog_state s;
    s.set_environment("production");
    return s;
}

schema::document document_of(const std::string& label, const std::string& model) {
    schema::document d;
    d.set_environment("production");
    d.set_label(label);
    d.add_models()->set_name(model);
    d.mutable_limits()->set_adapters_in_flight(40);
    return d;
}

command_reply trial(catalog_state& s, const schema::document& d, const std::string& operation) {
    command c;
    c.set_operation_id(operation);
    *c.mutable_trial()->mutable_document() = d;
    c.mutable_trial()->set_digest(d.SerializeAsString());
    return catalog::apply(s, c);
}

command promotion(const schema::document& d, const std::string& proof,
                  const std::string& operation) {
    command c;
    c.set_operation_id(operation);
    *c.mutable_promote()->mutable_document() = d;
    c.mutable_promote()->set_digest(d.SerializeAsString());
    c.mutable_promote()->set_proof_id(proof);
    return c;
}

void register_agent(catalog_state& s, const std::string& agent, std::uint64_t incarnation) {
    command c;
    auto& r = *c.mutable_register_agent()->mutable_registration();
    r.set_name(agent);
    r.set_incarnation(incarnation);
    (void)catalog::apply(s, c);
}

command claim_of(const std::string& key, const std::string& attempt, const std::string& body,
                 const std::string& agent, std::uint64_t incarnation) {
    command c;
    auto& claim = *c.mutable_claim();
    claim.set_key(key);
    claim.set_attempt(attempt);
    claim.set_body_digest(body);
    claim.set_agent(agent);
    claim.set_incarnation(incarnation);
    return c;
}

command settlement(const std::string& key, const std::string& attempt,
                   schema::settle_command::result_kind result) {
    command c;
    c.mutable_settle()->set_key(key);
    c.mutable_settle()->set_attempt(attempt);
    c.mutable_settle()->set_result(result);
    return c;
}

// Two operators race: both run a trial on the same base revision, then both promote. True if both
// documents came into force.
bool both_promoted(catalog::mutation injected) {
    catalog_state s = fresh_state();
    const schema::document a = document_of("5", "from-a");
    const schema::document b = document_of("6", "from-b");
    const std::string proof_a = trial(s, a, "t1").proof_id();
    const std::string proof_b = trial(s, b, "t2").proof_id();
    const auto first = catalog::apply(s, promotion(a, proof_a, "p1"), injected);
    const auto second = catalog::apply(s, promotion(b, proof_b, "p2"), injected);
    CHECK(first.status() == schema::status_done);
    return second.status() == schema::status_done;
}

}  // namespace

TEST_CASE("of two racing promotions only the first comes into force") {
    CHECK(!both_promoted(catalog::mutation::none));
    CHECK(both_promoted(catalog::mutation::skip_base_check));
}

TEST_CASE("a used label with other content is refused; a resent command gets its first reply") {
    catalog_state s = fresh_state();
    const schema::document a = document_of("5", "one");
    const schema::document b = document_of("5", "two");
    const command promote_a = promotion(a, trial(s, a, "t1").proof_id(), "p1");
    const command_reply first = catalog::apply(s, promote_a);
    CHECK(first.status() == schema::status_done);
    const auto other = catalog::apply(s, promotion(b, trial(s, b, "t2").proof_id(), "p2"));
    CHECK(other.status() == schema::status_refused);
    CHECK(other.message().find("`5`") != std::string::npos);
    const schema::document c = document_of("6", "three");
    (void)catalog::apply(s, promotion(c, trial(s, c, "t3").proof_id(), "p3"));
    const command_reply repeated = catalog::apply(s, promote_a);
    CHECK(repeated.SerializeAsString() == first.SerializeAsString());
    CHECK(s.current().document().label() == "6");
    command altered = promote_a;
    altered.mutable_promote()->set_proof_id("x");
    CHECK(catalog::apply(s, altered).status() == schema::status_refused);
}

TEST_CASE("a promotion without a proof, or with a proof for other content, is refused") {
    catalog_state s = fresh_state();
    const schema::document a = document_of("5", "one");
    const std::string proof = trial(s, a, "t").proof_id();
    CHECK(catalog::apply(s, promotion(a, "", "1")).status() == schema::status_refused);
    const schema::document other = document_of("7", "x");
    CHECK(catalog::apply(s, promotion(other, proof, "2")).status() == schema::status_refused);
    schema::document foreign = a;
    foreign.set_environment("trial");
    CHECK(trial(s, foreign, "t2").status() == schema::status_refused);
}

TEST_CASE("random claims, settlements and agent restarts: at most one start per key") {
    for (const auto injected :
         {catalog::mutation::none, catalog::mutation::allow_duplicate_claims}) {
        bool duplicate_start = false;
        for (unsigned seed = 1; seed <= 60; ++seed) {
            CAPTURE(seed);
            std::mt19937_64 rng(seed);
            catalog_state s = fresh_state();
            std::uint64_t incarnation = 1;
            register_agent(s, "a", incarnation);
            // Reference model: attempts that may have started, by key.
            std::map<std::string, std::set<std::string>> possible_starts;
            for (int step = 0; step < 300; ++step) {
                const std::string key = "k" + std::to_string(rng() % 5);
                const std::string attempt = "t" + std::to_string(step);
                switch (rng() % 4) {
                    case 0:
                    case 1: {
                        const auto reply = catalog::apply(
                            s, claim_of(key, attempt, "b", "a", incarnation), injected);
                        if (reply.status() == schema::status_done) {
                            possible_starts[key].insert(attempt);
                        }
                        break;
                    }
                    case 2: {
                        const auto found = s.claims().find(key);
                        if (found == s.claims().end()) {
                            break;
                        }
                        const std::string holder = found->second.attempt();
                        const auto result =
                            static_cast<schema::settle_command::result_kind>(rng() % 3);
                        const bool open = found->second.state() == schema::claim_open;
                        if (result == schema::settle_command::not_run && open) {
                            possible_starts[key].erase(holder);
                        }
                        if (open || result != schema::settle_command::not_run) {
                            (void)catalog::apply(s, settlement(key, holder, result));
                        }
                        break;
                    }
                    default:
                        register_agent(s, "a", ++incarnation);
                        break;
                }
                for (const auto& [k, attempts] : possible_starts) {
                    duplicate_start = duplicate_start || attempts.size() > 1;
                }
            }
        }
        CHECK(duplicate_start == (injected != catalog::mutation::none));
    }
}

TEST_CASE("a used key with another body is refused; a completed claim returns its answer") {
    catalog_state s = fresh_state();
    register_agent(s, "a", 1);
    CHECK(catalog::apply(s, claim_of("k", "t1", "b", "a", 1)).status() == schema::status_done);
    CHECK(catalog::apply(s, claim_of("k", "t1", "b", "a", 1)).status() == schema::status_done);
    CHECK(catalog::apply(s, claim_of("k", "t2", "b", "a", 1)).status() == schema::status_exists);
    CHECK(catalog::apply(s, claim_of("k", "t3", "c", "a", 1)).status() == schema::status_refused);
    CHECK(catalog::apply(s, claim_of("l", "t4", "b", "a", 2)).status() == schema::status_refused);
    command settle = settlement("k", "t1", schema::settle_command::done);
    settle.mutable_settle()->mutable_answer()->set_body("booked");
    (void)catalog::apply(s, settle);
    (void)catalog::apply(s, settlement("k", "t1", schema::settle_command::not_run));
    const auto repeated = catalog::apply(s, claim_of("k", "t5", "b", "a", 1));
    CHECK(repeated.claim().answer().body() == "booked");
}

TEST_CASE("an older incarnation can neither replace a later one nor report its residency") {
    catalog_state s = fresh_state();
    register_agent(s, "a", 5);
    register_agent(s, "a", 4);
    CHECK(s.agents().at("a").registration().incarnation() == 5);
    command c;
    c.mutable_residency()->set_agent("a");
    c.mutable_residency()->set_incarnation(4);
    c.mutable_residency()->add_resident()->set_model("m");
    CHECK(catalog::apply(s, c).status() == schema::status_refused);
    CHECK(s.agents().at("a").resident().empty());
}

TEST_CASE("the sum of adapter shares never exceeds the limit") {
    catalog_state s = fresh_state();
    const schema::document d = document_of("1", "m");
    (void)catalog::apply(s, promotion(d, trial(s, d, "t").proof_id(), "p"));
    std::mt19937_64 rng(4);
    for (const char* name : {"a", "b", "c"}) {
        register_agent(s, name, 1);
    }
    for (int step = 0; step < 500; ++step) {
        command c;
        c.mutable_share()->set_agent(std::string(1, static_cast<char>('a' + rng() % 3)));
        c.mutable_share()->set_incarnation(1);
        c.mutable_share()->set_adapter_share(static_cast<std::uint32_t>(rng() % 45));
        (void)catalog::apply(s, c);
        std::uint32_t total = 0;
        for (const auto& [name, agent] : s.agents()) {
            total += agent.adapter_share();
        }
        CHECK(total <= 40);
    }
}

TEST_CASE(
    "an operator's drain persists over a restart of the agent; the agent's own leaving does not") {
    catalog_state s = fresh_state();
    register_agent(s, "a", 1);
    command leave;
    leave.mutable_leaving()->set_agent("a");
    leave.mutable_leaving()->set_leaving(true);
    for (const std::uint64_t incarnation : {std::uint64_t{0}, std::uint64_t{1}}) {
        leave.mutable_leaving()->set_incarnation(incarnation);
        CHECK(catalog::apply(s, leave).status() == schema::status_done);
        CHECK(!catalog::in_service(s.agents().at("a")));
    }
    register_agent(s, "a", 2);
    CHECK(!catalog::in_service(s.agents().at("a")));
    leave.mutable_leaving()->set_incarnation(0);
    leave.mutable_leaving()->set_leaving(false);
    (void)catalog::apply(s, leave);
    CHECK(catalog::in_service(s.agents().at("a")));
}

TEST_CASE("permits for the weight store never exceed its limit of concurrent loads") {
    catalog_state s = fresh_state();
    schema::document d = document_of("1", "m");
    d.mutable_limits()->set_weight_loads_at_once(3);
    (void)catalog::apply(s, promotion(d, trial(s, d, "t").proof_id(), "p"));
    register_agent(s, "a", 1);
    std::mt19937_64 rng(6);
    for (int step = 0; step < 300; ++step) {
        command c;
        c.mutable_permit()->set_order_id("o" + std::to_string(rng() % 8));
        c.mutable_permit()->set_agent("a");
        c.mutable_permit()->set_incarnation(1);
        c.mutable_permit()->set_release(rng() % 3 == 0);
        const bool held = s.permits().contains(c.permit().order_id());
        const std::size_t before = s.permits().size();
        const auto reply = catalog::apply(s, c);
        CHECK(s.permits().size() <= 3);
        if (!c.permit().release()) {
            CHECK((reply.status() == schema::status_done) == (held || before < 3));
        }
    }
}

TEST_CASE("table updates since any revision rebuild the same table") {
    catalog_state s = fresh_state();
    std::mt19937_64 rng(9);
    std::map<std::string, std::string> expected;
    std::map<std::string, std::string> rebuilt;
    std::uint64_t known = 0;
    for (std::uint64_t step = 1; step <= 300; ++step) {
        const std::string name = "a" + std::to_string(rng() % 6);
        if (rng() % 2 == 0) {
            register_agent(s, name, step);
        } else {
            command c;
            c.mutable_leaving()->set_agent(name);
            c.mutable_leaving()->set_leaving(rng() % 2 == 0);
            (void)catalog::apply(s, c);
        }
        expected.clear();
        for (const auto& [each, record] : s.agents()) {
            expected[each] = record.SerializeAsString();
        }
        if (rng() % 3 == 0) {
            const auto update = catalog::table_since(s, "c", known);
            CHECK(update.revision() >= known);
            for (const auto& record : update.agents()) {
                rebuilt[record.registration().name()] = record.SerializeAsString();
            }
            known = update.revision();
            CHECK(rebuilt == expected);
        }
    }
}
