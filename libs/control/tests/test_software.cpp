// The list of software versions at which streams may have been begun: when versions come and go.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "catalog/catalog.h"
#include "software.h"

using namespace burdockdeck;
using namespace burdockdeck::control;
using std::chrono::seconds;

namespace {

const time_point start{seconds(1000)};

schema::upstream_announcement announcement(const std::string& id, const std::string& version,
                                           schema::announced_state state) {
    schema::upstream_announcement a;
    a.set_id(id);
    a.set_born_ms(1);
    a.set_sequence(1);
    a.set_service("sorter");
    a.set_address(id + ":80");
    a.set_software_version(version);
    a.set_state(state);
    return a;
}

struct site {
    schema::catalog_state state;
    registry::registry upstreams;
    software_review memory;

    site() {
        forget_upstreams();
    }
    void forget_upstreams() {
        upstreams = {};
        (void)set_services(upstreams, {"sorter"});
    }

    // Proposes and commits; the number of changes.
    std::size_t review(time_point now) {
        const auto changes = review_software(state, upstreams, memory, now);
        for (const schema::software_version_command& change : changes) {
            schema::command c;
            *c.mutable_software_version() = change;
            CHECK(catalog::apply(state, c).status() == schema::status_done);
        }
        return changes.size();
    }
    [[nodiscard]] bool lists(const std::string& version) const {
        return is_listed(state, {"sorter", version});
    }
};

}  // namespace

TEST_CASE("a version is listed once an upstream that accepts requests announces it") {
    site s;
    CHECK(s.review(start) == 0);
    merge(s.upstreams, announcement("a", "v1", schema::announced_ready), start);
    merge(s.upstreams, announcement("b", "v1", schema::announced_ready), start);
    merge(s.upstreams, announcement("c", "v2", schema::announced_draining), start);
    CHECK(s.review(start) == 1);
    CHECK(s.lists("v1"));
    CHECK_FALSE(s.lists("v2"));
    CHECK(s.review(start + seconds(1)) == 0);
    const rpc::software_versions told = software_of(s.state);
    CHECK(told.revision() == 1);
    CHECK(told.services().at("sorter").versions_size() == 1);
}

// Guards against a list that forgets a version whose streams may still be taken up.
TEST_CASE("a version is removed only long after its last upstream, also under new leaders") {
    site s;
    merge(s.upstreams, announcement("a", "v1", schema::announced_ready), start);
    CHECK(s.review(start) == 1);
    s.forget_upstreams();
    merge(s.upstreams, announcement("b", "v2", schema::announced_ready), start + seconds(5));
    CHECK(s.review(start + seconds(5)) == 1);
    time_point now = start + seconds(5);
    while (now < start + software_retention - seconds(4)) {
        now += seconds(4);
        CHECK(s.review(now) == 0);
    }
    CHECK(s.lists("v1"));
    // A new leader knows nothing of earlier announcements.
    s.memory = {};
    const time_point elected = start + software_retention;
    for (now = elected; now <= elected + software_retention; now += seconds(4)) {
        CHECK(s.review(now) == 0);
    }
    CHECK(s.lists("v1"));
    CHECK(s.review(now) == 1);
    CHECK_FALSE(s.lists("v1"));
    CHECK(s.lists("v2"));
}

// Guards against a version that is never listed because another of its upstreams is leaving.
TEST_CASE("an upstream that leaves does not hide one that accepts requests") {
    site s;
    merge(s.upstreams, announcement("a", "v1", schema::announced_draining), start);
    merge(s.upstreams, announcement("b", "v1", schema::announced_ready), start);
    CHECK(s.review(start) == 1);
    CHECK(s.lists("v1"));
}

// Guards against a leader that stood still and takes what it did not hear for silence.
TEST_CASE("a leader that has not reviewed the list for some time removes nothing") {
    site s;
    merge(s.upstreams, announcement("a", "v1", schema::announced_ready), start);
    CHECK(s.review(start) == 1);
    s.forget_upstreams();
    CHECK(s.review(start + 2 * software_retention) == 0);
    CHECK(s.lists("v1"));
}

TEST_CASE("versions of services that are not deployed are not listed") {
    site s;
    schema::upstream_announcement a = announcement("a", "v1", schema::announced_ready);
    a.set_service("other");
    merge(s.upstreams, a, start);
    CHECK(s.review(start) == 0);
    CHECK(s.state.software().empty());
}

TEST_CASE("announcements of ever new versions take bounded memory") {
    site s;
    for (int i = 0; i < 3 * catalog::max_software_versions; ++i) {
        const std::string name = std::to_string(i);
        merge(s.upstreams, announcement("u" + name, "v" + name, schema::announced_ready), start);
        (void)s.review(start + seconds(i));
    }
    CHECK(s.state.software().at("sorter").versions_size() == catalog::max_software_versions);
    CHECK(s.state.software_revision() == catalog::max_software_versions);
    schema::command c;
    c.mutable_software_version()->set_service("sorter");
    c.mutable_software_version()->set_version("one more");
    CHECK(catalog::apply(s.state, c).status() == schema::status_refused);
}

TEST_CASE("changes that are proposed twice change the list once") {
    site s;
    schema::command c;
    c.mutable_software_version()->set_service("sorter");
    c.mutable_software_version()->set_version("v1");
    CHECK(catalog::apply(s.state, c).status() == schema::status_done);
    CHECK(catalog::apply(s.state, c).status() == schema::status_done);
    CHECK(s.state.software_revision() == 1);
    c.mutable_software_version()->set_remove(true);
    CHECK(catalog::apply(s.state, c).status() == schema::status_done);
    CHECK(catalog::apply(s.state, c).status() == schema::status_done);
    CHECK(s.state.software_revision() == 2);
    CHECK(s.state.software().empty());
}
