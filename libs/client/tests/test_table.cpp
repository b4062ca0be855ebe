// A subscriber's table never returns to an older revision, in whatever order updates arrive.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "client/table.h"

using namespace burdockdeck;
using client::apply;
using client::table;
using client::update_effect;

namespace {

schema::table_update update_of(std::uint64_t base, std::uint64_t revision) {
    schema::table_update u;
    u.set_cluster("c");
    u.set_base_revision(base);
    u.set_revision(revision);
    u.mutable_current()->set_revision(revision);
    schema::agent_record& a = *u.add_agents();
    a.mutable_registration()->set_name("a" + std::to_string(revision % 3));
    a.set_revision(revision);
    return u;
}

}  // namespace

TEST_CASE("reordered, repeated and late updates never lower the revision of the table") {
    for (unsigned seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 rng(seed);
        std::vector<schema::table_update> updates;
        for (std::uint64_t r = 1; r <= 30; ++r) {
            updates.push_back(update_of(r - 1, r));
            updates.push_back(update_of(0, r));
        }
        std::shuffle(updates.begin(), updates.end(), rng);
        table t;
        std::uint64_t highest_revision = 0;
        for (const auto& u : updates) {
            const update_effect effect = apply(t, u);
            CHECK(t.revision >= highest_revision);
            CHECK((effect == update_effect::refused_older) == (u.revision() < highest_revision));
            highest_revision = t.revision;
            CHECK(t.current.revision() == t.revision);
        }
        CHECK(highest_revision == 30);
    }
}

TEST_CASE("an update of another cluster, or a delta on an unknown revision, is refused") {
    table t;
    CHECK(apply(t, update_of(3, 4)) == update_effect::refused_mismatch);
    CHECK(apply(t, update_of(0, 4)) == update_effect::applied);
    CHECK(apply(t, update_of(0, 4)) == update_effect::unchanged);
    schema::table_update foreign = update_of(0, 9);
    foreign.set_cluster("d");
    CHECK(apply(t, foreign) == update_effect::refused_mismatch);
    CHECK(t.revision == 4);
}
