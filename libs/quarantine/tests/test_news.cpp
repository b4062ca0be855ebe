// Crash news between tables of processes whose clocks differ.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "quarantine/news.h"

using namespace burdockdeck;
using namespace burdockdeck::quarantine;
using namespace std::chrono_literals;

namespace {

const time_point here{1000s};
// The same moment by another process's clock.
const time_point there{77s};

}  // namespace

TEST_CASE("a table that is told all news judges as the one that sends it") {
    table a;
    record_answer(a, {"e9", 1}, {1, 20}, here - 5s, here - 4s);
    record_crash(a, {"e1", 7}, {1, 20, 66}, here - 2s);
    record_crash(a, {"e2", 8}, {1, 21, 66}, here - 1s);
    record_crash(a, {"e3", 9}, {1, 22}, here - 1s);
    record_answer(a, {"e3", 9}, {}, here - 500ms, here - 500ms);
    table b;
    CHECK(merge(b, news_since(a, 0, here), there));
    for (const part_list& parts : {part_list{1, 23, 66}, part_list{1, 20}, part_list{1, 22}}) {
        const verdict at_a = judge(a, parts, here);
        const verdict at_b = judge(b, parts, there);
        CHECK(at_a.quarantined == at_b.quarantined);
        CHECK(at_a.crashes == at_b.crashes);
        CHECK(at_a.remaining == at_b.remaining);
    }
    CHECK(judge(b, {1, 23, 66}, there).quarantined);
    CHECK(b.crashes.at({"e3", 9}).refuted);
}

TEST_CASE("news that was merged before changes nothing") {
    table a;
    record_crash(a, {"e1", 7}, {1, 20, 66}, here);
    const schema::crash_news news = news_since(a, 0, here);
    CHECK(is_empty(news_since(a, a.revision, here)));
    table b;
    CHECK(merge(b, news, there));
    const std::uint64_t revision = b.revision;
    CHECK_FALSE(merge(b, news, there + 300ms));
    CHECK_FALSE(merge(a, news_since(b, 0, there + 300ms), here + 300ms));
    CHECK(b.revision == revision);
}

TEST_CASE("news with absurd ages or without content harms nothing") {
    schema::crash_news news;
    schema::engine_crash& c = *news.add_crashes();
    c.set_upstream("e1");
    c.set_age_ms(~0ULL);
    c.add_unanswered()->add_ids(66);
    news.add_crashes();
    news.add_answered()->set_age_ms(~0ULL);
    table t;
    (void)merge(t, news, here);
    CHECK_FALSE(judge(t, {1, 66}, here).quarantined);
    expire(t, here);
    CHECK(t.crashes.empty());
}
