// What an instance without a data folder makes of reports about the members.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "directory.h"

using namespace burdockdeck;
using namespace burdockdeck::control;
using std::chrono::milliseconds;
using addresses = std::set<std::string>;

namespace {

const time_point start{std::chrono::seconds(100)};
const addresses seeds{"s1", "s2"};

rpc::member_list report(const std::vector<std::string>& members, const std::string& leader,
                        const std::vector<std::string>& responsive = {}) {
    rpc::member_list out;
    out.mutable_addresses()->Assign(members.begin(), members.end());
    out.mutable_responsive()->Assign(responsive.begin(), responsive.end());
    out.set_leader(leader);
    out.set_from_member(true);
    return out;
}

}  // namespace

TEST_CASE("calls are redirected to the leader, or to members that it has heard") {
    directory d;
    CHECK_FALSE(redirect_target(d, redirect_kind::to_any_member, start));
    CHECK(record_report(d, report({"a", "b", "c"}, "a", {"a", "c"}), start));
    CHECK(redirect_target(d, redirect_kind::to_leader, start) == "a");
    addresses targets;
    for (int i = 0; i < 100; ++i) {
        targets.insert(*redirect_target(d, redirect_kind::to_any_member, start));
    }
    CHECK(targets == addresses{"a", "c"});
    // A follower's report does not replace the leader's, unless it names another leader.
    CHECK_FALSE(record_report(d, report({"a", "b", "c"}, ""), start + milliseconds(100)));
    CHECK(d.responsive.size() == 2);
    CHECK(record_report(d, report({"a", "b", "c"}, "b"), start + milliseconds(200)));
    CHECK(redirect_target(d, redirect_kind::to_leader, start + milliseconds(200)) == "b");
}

// Guards against redirects to members that were lost long ago.
TEST_CASE("without recent reports no call is redirected, but the members stay known") {
    directory d;
    record_report(d, report({"a", "b"}, "a", {"a", "b"}), start);
    const time_point late = start + max_report_age + milliseconds(1);
    CHECK_FALSE(redirect_target(d, redirect_kind::to_leader, late));
    CHECK(instances_to_ask(d, seeds, start) == addresses{"a"});
    CHECK(instances_to_ask(d, seeds, late) == addresses{"a", "b", "s1", "s2"});
    // Once the leader is silent, another member's report counts.
    record_report(d, report({"a", "b"}, ""), start + milliseconds(2000));
    CHECK(redirect_target(d, redirect_kind::to_leader, late));
}

// Guards against a member that was removed and reports those of its time.
TEST_CASE("without a leader, reports of members add up") {
    directory d;
    record_report(d, report({"a", "b", "c"}, ""), start);
    record_report(d, report({"x", "y"}, ""), start + milliseconds(10));
    CHECK(instances_to_ask(d, {}, start) == addresses{"a", "b", "c", "x", "y"});
    record_report(d, report({"a", "b", "c"}, "a", {"a", "b", "c"}), start + milliseconds(20));
    CHECK(d.members == addresses{"a", "b", "c"});
}

TEST_CASE("another instance without a data folder only adds addresses") {
    directory d;
    rpc::member_list hearsay = report({"x"}, "x", {"x"});
    hearsay.set_from_member(false);
    CHECK(record_report(d, hearsay, start));
    CHECK(instances_to_ask(d, seeds, start) == addresses{"s1", "s2", "x"});
    CHECK_FALSE(redirect_target(d, redirect_kind::to_any_member, start));
    record_report(d, report({"a"}, "a", {"a"}), start);
    CHECK(d.members == addresses{"a"});
}
