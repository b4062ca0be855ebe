// Deployment changes are logged and fetched as patches. These tests check that replicas and
// gateways end up with the proposed text byte for byte, across changes of leader and skipped
// versions.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "catalog/catalog.h"
#include "deployment_history.h"
#include "deployment_tail.h"
#include "patch/patch.h"

using namespace burdockdeck;
using namespace burdockdeck::control;

namespace {

schema::command change_to(std::uint64_t version, const std::string& text) {
    schema::command c;
    c.mutable_replace_deployment()->mutable_next()->set_version(version);
    c.mutable_replace_deployment()->mutable_next()->set_source(text);
    return c;
}

std::string long_text(unsigned salt) {
    std::mt19937 rng(salt % 3);
    std::string out;
    for (int i = 0; i < 400; ++i) {
        out += "route " + std::to_string(rng()) + " to service " + std::to_string(rng()) + "\n";
    }
    return out + std::to_string(salt);
}

}  // namespace

TEST_CASE("random changes, applied late and across terms, result in the highest version's text") {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937 rng(seed);
        schema::catalog_state leader;
        schema::catalog_state follower;
        deployment_tail tail;
        std::vector<schema::command> log;
        std::size_t applied = 0;
        std::uint64_t highest = 0;
        std::string text;
        consensus::term_number term = 1;
        for (int round = 0; round < 60; ++round) {
            if (rng() % 8 == 0) {
                // A new leader starts once it has applied its log; entries of the old leader that
                // were not replicated are lost.
                if (rng() % 2 == 0 && applied < log.size()) {
                    log.resize(applied);
                    highest = leader.deployment().version();
                    text = leader.deployment().source();
                }
                for (; applied < log.size(); ++applied) {
                    (void)catalog::apply(leader, log[applied]);
                }
                ++term;
                if (rng() % 2 == 0) {
                    tail = {};
                }
            }
            const std::uint64_t version = 1 + rng() % 40;
            const std::string content = long_text(static_cast<unsigned>(rng()));
            schema::command c = change_to(version, content);
            encode_as_patch(c, tail, leader.deployment(), term);
            if (version > highest) {
                highest = version;
                text = content;
            }
            log.push_back(c);
            while (applied < log.size() && rng() % 3 != 0) {
                CHECK(catalog::apply(leader, log[applied++]).status() == schema::status_done);
            }
        }
        for (const schema::command& c : log) {
            CHECK(catalog::apply(follower, c).status() == schema::status_done);
        }
        CHECK(follower.deployment().version() == highest);
        CHECK(follower.deployment().source() == text);
    }
}

TEST_CASE("a small change of a long deployment is logged as a short entry") {
    schema::catalog_state s;
    deployment_tail tail;
    schema::command first = change_to(1, long_text(0));
    encode_as_patch(first, tail, s.deployment(), 1);
    (void)catalog::apply(s, first);
    schema::command second = change_to(2, long_text(0) + " and a route more");
    encode_as_patch(second, tail, s.deployment(), 1);
    CHECK(second.ByteSizeLong() < s.deployment().source().size() / 50);
    CHECK(catalog::apply(s, second).status() == schema::status_done);
    CHECK(s.deployment().source() == long_text(0) + " and a route more");
}

TEST_CASE("a patch to a different base and a change without text are refused without effect") {
    schema::catalog_state s;
    (void)catalog::apply(s, change_to(3, "three"));
    schema::command wrong = change_to(4, "");
    wrong.mutable_replace_deployment()->set_patch(
        value(patch::make(long_text(1), long_text(1) + "more")));
    CHECK(catalog::apply(s, wrong).status() == schema::status_refused);
    CHECK(catalog::apply(s, change_to(5, "")).status() == schema::status_refused);
    CHECK(s.deployment().version() == 3);
    CHECK(s.deployment().source() == "three");
}

// Guards against changes that are refused for as long as one instance leads.
TEST_CASE("a change that was refused does not make the following ones fail") {
    schema::catalog_state s;
    (void)catalog::apply(s, change_to(1, long_text(0)));
    const schema::deployment_record outdated = s.deployment();
    (void)catalog::apply(s, change_to(2, long_text(1)));
    deployment_tail tail;
    schema::command refused = change_to(3, long_text(2));
    encode_as_patch(refused, tail, outdated, 1);
    REQUIRE(catalog::apply(s, refused).status() == schema::status_refused);
    record_refused_change(tail);
    for (std::uint64_t version = 3; version <= 5; ++version) {
        schema::command next = change_to(version, long_text(static_cast<unsigned>(version)));
        encode_as_patch(next, tail, s.deployment(), 1);
        CHECK(catalog::apply(s, next).status() == schema::status_done);
        CHECK(s.deployment().source() == long_text(static_cast<unsigned>(version)));
    }
}

TEST_CASE("patches lead from any version that a gateway has to the newest text") {
    deployment_history h;
    CHECK(patch_for(h, 0).version() == 0);
    std::map<std::uint64_t, std::string> all;
    for (std::uint64_t version = 1; version <= 30; ++version) {
        all[version] = long_text(static_cast<unsigned>(version));
        schema::deployment_record d;
        d.set_version(version);
        d.set_source(all[version]);
        record_deployment(h, d);
        record_deployment(h, d);
        for (std::uint64_t known = 0; known <= version; ++known) {
            const rpc::fetch_deployment_reply reply = patch_for(h, known);
            if (known == version) {
                CHECK(reply.version() == 0);
                continue;
            }
            REQUIRE(reply.version() == version);
            CHECK((reply.base_version() == known || reply.base_version() == 0));
            const auto text =
                patch::apply(reply.base_version() == 0 ? "" : all[known], reply.patch());
            REQUIRE(succeeded(text));
            CHECK(value(text) == all[version]);
        }
        CHECK(h.texts.size() <= max_texts);
    }
}
