// Tests of the rules of the quarantine under virtual time: which parts are blamed for crashes, for
// how long, what clears them, and that tables merge in any order and stay bounded.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

using namespace burdockdeck;
using namespace burdockdeck::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr part_id first_part = 1;
constexpr part_id deadly = 2;
constexpr part_id subject = 10;

time_point at(duration since_start) {
    return time_point{1h + since_start};
}

incarnation engine(unsigned i) {
    return {"engine-" + std::to_string(i), i};
}

// An answer on an engine that no crash concerns.
void answer(table& t, const part_list& parts, time_point now) {
    record_answer(t, engine(99'999), parts, now - 100ms, now);
}

// A proof of other tables: a request that was answered completely at once.
proof complete_answer(part_id part, time_point now) {
    return {part, now, now, now};
}

// `count` crashes, one a second from `from`, each with the first and the deadly part alone.
void crash_in_turn(table& t, unsigned count, duration from) {
    for (unsigned i = 0; i < count; ++i) {
        record_crash(t, engine(i), {first_part, deadly}, at(from + i * 1s));
    }
}

}  // namespace

TEST_CASE("the last part of a request is never shared") {
    dispatch::work w;
    CHECK(shared_parts(w).empty());
    w.parts = {{7, 100}};
    CHECK(shared_parts(w).empty());
    w.parts = {{7, 100}, {3, 50}, {7, 10}, {9, 10}};
    CHECK(shared_parts(w) == part_list{3, 7});
    w.parts.clear();
    for (part_id p = 0; p < 100; ++p) {
        w.parts.push_back({p, 1});
    }
    CHECK(shared_parts(w).size() == max_parts);
}

TEST_CASE("a part is refused from the second crash on, for longer with each") {
    const std::vector<duration> expected{0s, 10s, 1min, 10min, 10min, 10min};
    for (unsigned count = 1; count <= expected.size(); ++count) {
        table t;
        answer(t, {first_part}, at(0s));
        crash_in_turn(t, count, 1s);
        const time_point last = at(count * 1s);
        const verdict v = judge(t, {first_part, deadly}, last);
        CHECK(v.crashes == count);
        CHECK(v.quarantined == (count >= 2));
        CHECK(v.remaining == expected[count - 1]);
        CHECK(v.parts == part_list{deadly});
        const duration length = expected[count - 1];
        CHECK_FALSE(judge(t, {first_part, deadly}, last + length).quarantined);
        CHECK_FALSE(judge(t, {first_part, subject}, last).quarantined);
    }
}

TEST_CASE("a crash after the quarantine prolongs it, an answer ends it") {
    table t;
    crash_in_turn(t, 2, 1s);
    REQUIRE_FALSE(judge(t, {deadly}, at(13s)).quarantined);
    record_crash(t, engine(7), {first_part, deadly}, at(13s));
    CHECK(judge(t, {first_part, deadly}, at(42s)).quarantined);
    answer(t, {first_part, deadly}, at(42s));
    CHECK_FALSE(judge(t, {first_part, deadly}, at(42s)).quarantined);
    CHECK(judge(t, {first_part, deadly}, at(42s)).crashes == 0);
}

TEST_CASE("one crash that ends many requests counts once") {
    table t;
    for (part_id p = 0; p < 40; ++p) {
        record_crash(t, engine(1), {deadly, subject + p}, at(1s));
        record_crash(t, engine(1), {deadly, subject + p}, at(1500ms));
    }
    CHECK(judge(t, {deadly, subject}, at(2s)).crashes == 1);
    CHECK_FALSE(judge(t, {deadly, subject}, at(2s)).quarantined);
}

TEST_CASE("sound requests that waited behind a deadly one are not blamed") {
    table t;
    // Neither the first part nor the subjects were ever answered.
    for (unsigned i = 0; i < 4; ++i) {
        record_crash(t, engine(i), {first_part, deadly, subject + i}, at(i * 1s));
        record_crash(t, engine(i), {first_part, subject + 20 + i}, at(i * 1s));
        answer(t, {first_part}, at(i * 1s + 100ms));
    }
    CHECK(judge(t, {first_part, deadly, subject + 50}, at(4s)).quarantined);
    for (unsigned i = 0; i < 4; ++i) {
        CHECK_FALSE(judge(t, {first_part, subject + i}, at(4s)).quarantined);
        CHECK_FALSE(judge(t, {first_part, subject + 20 + i}, at(4s)).quarantined);
    }
}

TEST_CASE("a subject that occurred only with the deadly part is not refused without it") {
    table t;
    for (unsigned i = 0; i < 3; ++i) {
        record_crash(t, engine(i), {deadly, subject}, at(i * 1s));
    }
    CHECK(judge(t, {deadly, subject}, at(3s)).quarantined);
    CHECK_FALSE(judge(t, {subject}, at(3s)).quarantined);
    // Which of the two is deadly is still open.
    CHECK_FALSE(judge(t, {deadly, subject + 1}, at(3s)).quarantined);
    record_crash(t, engine(3), {deadly, subject + 1}, at(3s));
    CHECK(judge(t, {deadly, subject + 2}, at(4s)).quarantined);
    CHECK_FALSE(judge(t, {subject}, at(4s)).quarantined);
}

TEST_CASE("two deadly parts at once are both found") {
    table t;
    for (unsigned i = 0; i < 6; ++i) {
        const part_id other = i % 2 == 0 ? deadly : deadly + 1;
        record_crash(t, engine(i), {first_part, other, subject + i}, at(i * 300ms));
        answer(t, {first_part}, at(i * 300ms + 1ms));
    }
    CHECK(judge(t, {first_part, deadly, subject + 9}, at(2s)).quarantined);
    CHECK(judge(t, {first_part, deadly + 1, subject + 9}, at(2s)).quarantined);
    CHECK_FALSE(judge(t, {first_part, subject + 1}, at(2s)).quarantined);
}

TEST_CASE("a part that used to be answered is found when it turns deadly") {
    table t;
    answer(t, {first_part, deadly}, at(0s));
    for (unsigned i = 0; i < 4; ++i) {
        CHECK_FALSE(judge(t, {first_part, deadly}, at(i * 1s)).quarantined);
        record_crash(t, engine(i), {first_part, deadly}, at(1s + i * 1s));
        answer(t, {first_part, subject, subject + 1}, at(1s + i * 1s + 500ms));
    }
    CHECK(judge(t, {first_part, deadly}, at(5s)).quarantined);
    CHECK_FALSE(judge(t, {first_part, subject}, at(5s)).quarantined);
}

TEST_CASE("answers on other parts count even if they are learned after the last crash") {
    table t;
    answer(t, {first_part, deadly}, at(0s));
    for (unsigned i = 0; i < 5; ++i) {
        record_crash(t, engine(i), {deadly}, at(1s + i * 700ms));
    }
    REQUIRE_FALSE(judge(t, {deadly}, at(4s)).quarantined);
    merge(t, complete_answer(first_part, at(2500ms)));
    merge(t, complete_answer(subject, at(2500ms)));
    REQUIRE_FALSE(judge(t, {deadly}, at(4s)).quarantined);
    merge(t, complete_answer(subject + 1, at(2500ms)));
    CHECK(judge(t, {deadly}, at(4s)).quarantined);
}

TEST_CASE("engines lost one after the other convict no part that used to be answered") {
    table t;
    answer(t, {first_part, subject, subject + 1, subject + 2}, at(0s));
    // Until none is left, and nothing is answered any more.
    for (unsigned i = 0; i < 9; ++i) {
        record_crash(t, engine(i), {first_part, subject + i % 3}, at(1s + i * 400ms));
    }
    for (unsigned i = 0; i < 3; ++i) {
        CHECK_FALSE(judge(t, {first_part, subject + i}, at(5s)).quarantined);
    }
}

TEST_CASE("an old answer does not clear a part") {
    table t;
    answer(t, {deadly}, at(0s));
    crash_in_turn(t, 2, 6min);
    CHECK(judge(t, {first_part, deadly}, at(6min + 2s)).quarantined);
}

TEST_CASE("many engines lost at the same moment convict nobody") {
    table t;
    for (part_id p = 0; p < 5; ++p) {
        answer(t, {first_part, subject + p}, at(0s));
    }
    // The first part was at each of the crashes; subjects 5 to 19 were never answered.
    for (unsigned i = 0; i < 15; ++i) {
        for (unsigned k = 0; k < 3; ++k) {
            record_crash(t, engine(i), {first_part, subject + (i * 3 + k) % 20}, at(1s + i * 20ms));
        }
    }
    for (part_id p = 0; p < 20; ++p) {
        CHECK_FALSE(judge(t, {first_part, subject + p}, at(2s)).quarantined);
    }
}

TEST_CASE("a connection reset that was no crash is forgotten once the engine answers") {
    table t;
    for (unsigned i = 0; i < 3; ++i) {
        record_crash(t, engine(i), {deadly}, at(1s));
    }
    REQUIRE(judge(t, {deadly}, at(2s)).quarantined);
    record_answer(t, engine(0), {subject}, at(900ms), at(1100ms));
    CHECK(judge(t, {deadly}, at(2s)).crashes == 3);
    record_answer(t, engine(0), {subject}, at(1100ms), at(1300ms));
    record_answer(t, engine(1), {subject}, at(1100ms), at(1300ms));
    CHECK(judge(t, {deadly}, at(2s)).crashes == 1);
    // A crash of the same incarnation later on counts again.
    record_crash(t, engine(0), {deadly}, at(3s));
    CHECK(judge(t, {deadly}, at(3s)).crashes == 2);
    table other;
    for (const crash_record& r : changed_since(t, 0)) {
        merge(other, r);
    }
    CHECK(judge(other, {deadly}, at(3s)).crashes == 2);
}

TEST_CASE("an answer after a restart under the same id does not refute the crash") {
    table t;
    crash_in_turn(t, 2, 1s);
    record_answer(t, engine(0), {subject}, at(4s), at(4100ms));
    record_answer(t, {"engine-1", 77}, {subject}, at(2100ms), at(2200ms));
    CHECK(judge(t, {first_part, deadly}, at(5s)).crashes == 2);
    record_crash(t, {"engine-1", 77}, {first_part, deadly}, at(6s));
    CHECK(judge(t, {first_part, deadly}, at(6s)).crashes == 3);
}

TEST_CASE("only what cannot have caused a crash may be repeated") {
    table t;
    answer(t, {first_part, subject}, at(0s));
    record_crash(t, engine(1), {first_part, subject}, at(1s));
    CHECK_FALSE(may_be_cause(t, engine(1), {first_part, subject}, 0s, at(1s)));
    record_crash(t, engine(1), {first_part, deadly, subject}, at(1s));
    CHECK(may_be_cause(t, engine(1), {first_part, deadly, subject}, 0s, at(1s)));
    CHECK_FALSE(may_be_cause(t, engine(1), {first_part, subject}, 0s, at(1s)));
    CHECK_FALSE(may_be_cause(t, engine(1), {}, 0s, at(1s)));
    // A subject without an answer may have been the cause, until a better explanation is known.
    record_crash(t, engine(1), {first_part, subject + 1}, at(1s));
    CHECK(may_be_cause(t, engine(1), {first_part, subject + 1}, 0s, at(1s)));
    answer(t, {first_part}, at(1500ms));
    record_crash(t, engine(2), {first_part, deadly, subject}, at(2s));
    CHECK_FALSE(may_be_cause(t, engine(1), {first_part, subject + 1}, 0s, at(2s)));
    // Without a record of the crash, only answers count.
    CHECK(may_be_cause(t, engine(3), {first_part, deadly}, 0s, at(2s)));
    CHECK_FALSE(may_be_cause(t, engine(3), {first_part, subject}, 0s, at(2s)));
}

TEST_CASE("what used to be answered is not repeated once it was at two crashes") {
    table t;
    answer(t, {first_part, deadly}, at(0s));
    record_crash(t, engine(1), {first_part, deadly}, at(1s));
    // Engines lost at the same moment.
    record_crash(t, engine(2), {first_part, deadly}, at(1050ms));
    CHECK_FALSE(may_be_cause(t, engine(2), {first_part, deadly}, 0s, at(1100ms)));
    record_crash(t, engine(3), {first_part, deadly}, at(2s));
    CHECK(may_be_cause(t, engine(3), {first_part, deadly}, 0s, at(2s)));
    answer(t, {first_part, deadly}, at(3s));
    CHECK_FALSE(may_be_cause(t, engine(3), {first_part, deadly}, 0s, at(3s)));
}

// Guards against a part that crashes engines after the first events of each answer.
TEST_CASE("events before a crash do not clear a part") {
    table t;
    answer(t, {first_part}, at(0s));
    for (unsigned i = 0; i < 2; ++i) {
        const time_point began = at(1s + i * 1s);
        record_event(t, engine(i), began - 100ms);
        record_crash(t, engine(i), {first_part, deadly}, began + 5ms);
    }
    CHECK(judge(t, {first_part, deadly, subject}, at(3s)).quarantined);
    CHECK_FALSE(judge(t, {first_part, subject}, at(3s)).quarantined);
}

// Guards against a part that crashes engines in the middle of long answers, which are a sign of a
// sound one for some time.
TEST_CASE("answers that go on for some time clear a part until they have ended four engines") {
    table t;
    for (unsigned i = 0; i < 4; ++i) {
        const time_point sent = at(1s + i * 1s);
        record_progress(t, engine(i), {first_part, deadly}, sent);
        CHECK_FALSE(judge(t, {first_part, deadly}, sent).quarantined);
        answer(t, {first_part, subject, subject + 1}, sent + 500ms);
        record_crash(t, engine(i), {first_part, deadly}, sent + 1500ms);
    }
    CHECK(judge(t, {first_part, deadly}, at(6s)).quarantined);
    // Sent before the last crash: it may yet crash its engine.
    record_progress(t, engine(9), {first_part, deadly}, at(5s));
    CHECK(judge(t, {first_part, deadly}, at(7s)).quarantined);
    CHECK_FALSE(judge(t, {first_part, subject}, at(7s)).quarantined);
    answer(t, {first_part, deadly}, at(8s));
    CHECK_FALSE(judge(t, {first_part, deadly}, at(8s)).quarantined);
}

// Guards against a deadly part that is never found where requests share few other parts.
TEST_CASE("one other part is enough to find a part without a complete answer") {
    table t;
    for (unsigned i = 0; i < 4; ++i) {
        const time_point sent = at(1s + i * 1s);
        record_progress(t, engine(i), {first_part, deadly}, sent);
        answer(t, {first_part}, sent + 500ms);
        record_crash(t, engine(i), {first_part, deadly}, sent + 1500ms);
        record_crash(t, engine(i), {first_part}, sent + 1500ms);
    }
    CHECK(judge(t, {first_part, deadly}, at(6s)).quarantined);
    CHECK_FALSE(judge(t, {first_part}, at(6s)).quarantined);
}

// Guards against a deadly part that keeps a small fleet from completing any answer.
TEST_CASE("eight crashes convict a part without a complete answer while nothing is answered") {
    table t;
    answer(t, {first_part}, at(0s));
    for (unsigned i = 0; i < 8; ++i) {
        CHECK_FALSE(judge(t, {first_part, deadly}, at(2s + i * 500ms)).quarantined);
        record_progress(t, engine(i), {first_part, deadly}, at(1s + i * 500ms));
        record_crash(t, engine(i), {first_part, deadly}, at(2500ms + i * 500ms));
    }
    CHECK(judge(t, {first_part, deadly}, at(7s)).quarantined);
    CHECK_FALSE(judge(t, {first_part}, at(7s)).quarantined);
}

TEST_CASE("answers that went on for some time may be continued after one crash") {
    table t;
    answer(t, {first_part}, at(0s));
    record_crash(t, engine(1), {first_part, deadly}, at(1s));
    CHECK(may_be_cause(t, engine(1), {first_part, deadly}, min_progress - 1ms, at(1s)));
    CHECK_FALSE(may_be_cause(t, engine(1), {first_part, deadly}, min_progress, at(1s)));
    record_crash(t, engine(2), {first_part, deadly}, at(2s));
    CHECK(may_be_cause(t, engine(2), {first_part, deadly}, min_progress, at(2s)));
}

TEST_CASE("a gateway that saw one crash refuses what the others saw") {
    table a;
    table b;
    record_crash(a, engine(1), {first_part, deadly}, at(1s));
    record_crash(b, engine(2), {first_part, deadly}, at(2s));
    answer(b, {first_part}, at(2s));
    REQUIRE_FALSE(judge(b, {first_part, deadly}, at(3s)).quarantined);
    for (const crash_record& r : changed_since(a, 0)) {
        CHECK(merge(b, r));
        CHECK_FALSE(merge(b, r));
    }
    CHECK(judge(b, {first_part, deadly}, at(3s)).quarantined);
}

TEST_CASE("proofs are shared for parts that were at a crash, and not every answer") {
    table t;
    answer(t, {first_part, subject}, at(0s));
    CHECK(proofs_since(t, 0).empty());
    record_crash(t, engine(1), {first_part, deadly}, at(1s));
    REQUIRE(proofs_since(t, 0).size() == 1);
    CHECK(proofs_since(t, 0).front().part == first_part);
    const std::uint64_t before = t.revision;
    for (int i = 1; i < 300; ++i) {
        answer(t, {first_part, subject}, at(1s + i * 1ms));
    }
    const std::uint64_t after = t.revision;
    CHECK(after - before <= 1);
    // The first answer after a crash is, because it clears the part of it.
    record_crash(t, engine(2), {first_part, deadly}, at(1300ms));
    const std::uint64_t crash = t.revision;
    for (int i = 0; i < 300; ++i) {
        answer(t, {first_part, subject}, at(1301ms + i * 1ms));
    }
    CHECK(t.revision == crash + 1);
    REQUIRE(proofs_since(t, crash).size() == 1);
    CHECK(proofs_since(t, crash).front().at > at(1300ms));
    // A proof that comes back a little later than it went out is not sent on again.
    for (const proof& p : proofs_since(t, 0)) {
        merge(t, proof{p.part, p.at + 300ms, p.whole_at + 300ms, p.whole_sent_at + 300ms});
    }
    CHECK(t.revision == crash + 1);
}

TEST_CASE("tables give the same verdicts in whatever order they learn") {
    const unsigned seed = 31;
    MESSAGE("seed " << seed);
    std::mt19937_64 rng(seed);
    const auto pick = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
    for (int round = 0; round < 60; ++round) {
        std::vector<crash_record> records;
        std::vector<proof> proofs;
        for (int i = 0; i < 30; ++i) {
            crash_record r{engine(pick(8)), pick(2), at(pick(60'000) * 1ms), {}, pick(8) == 0, 0};
            for (unsigned k = 0; k <= pick(5); ++k) {
                // Unsorted and repeated parts, as a foreign table may send them.
                r.unanswered.push_back({10 + pick(6), 10 + pick(6), 1 + pick(3)});
            }
            records.push_back(r);
            proof p{1 + pick(15), at(pick(60'000) * 1ms), {}, {}};
            if (pick(2) == 0) {
                p.whole_at = p.at - pick(2) * 1s;
                p.whole_sent_at = p.whole_at - pick(5'000) * 1ms;
            }
            proofs.push_back(p);
        }
        table reference;
        for (int order = 0; order < 6; ++order) {
            table t;
            std::vector<unsigned> todo;
            for (unsigned i = 0; i < 60; ++i) {
                // Some are learned more than once.
                todo.insert(todo.end(), 1 + pick(2), i);
            }
            std::shuffle(todo.begin(), todo.end(), rng);
            for (const unsigned i : todo) {
                i < 30 ? merge(t, records[i]) : merge(t, proofs[i - 30]);
            }
            for (unsigned i = 0; i < 30; ++i) {
                CHECK_FALSE(merge(t, records[i]));
                CHECK_FALSE(merge(t, proofs[i]));
            }
            if (order == 0) {
                reference = std::move(t);
                continue;
            }
            for (int q = 0; q < 40; ++q) {
                part_list parts{1 + pick(3), 10 + pick(3), 13 + pick(3)};
                const time_point now = at(60s + pick(20'000) * 1ms);
                const verdict x = judge(reference, parts, now);
                const verdict y = judge(t, parts, now);
                CHECK(x.quarantined == y.quarantined);
                CHECK(x.crashes == y.crashes);
                CHECK(x.remaining == y.remaining);
                CHECK(x.parts == y.parts);
            }
        }
    }
}

TEST_CASE("a table stays bounded") {
    const unsigned seed = 32;
    MESSAGE("seed " << seed);
    std::mt19937_64 rng(seed);
    const auto pick = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
    table t;
    for (unsigned i = 0; i < 100'000; ++i) {
        const time_point now = at(i * 1ms);
        part_list parts{1 + pick(3), 10 + pick(20'000)};
        const incarnation e = engine(pick(20) + i / 1000 * 5);
        const unsigned kind = pick(100);
        if (kind < 2) {
            record_crash(t, e, parts, now);
        } else if (kind < 3) {
            crash_record r{engine(pick(1'000'000)), pick(3), now, {parts}, pick(2) == 0, 0};
            r.unanswered.resize(pick(200), part_list{pick(99), pick(99'999)});
            r.unanswered.push_back(part_list(500, i));
            merge(t, r);
        } else if (kind < 10) {
            merge(t, complete_answer(pick(1'000'000), now));
        } else {
            record_answer(t, e, parts, now - 50ms, now);
        }
    }
    CHECK(t.crashes.size() <= max_crashes);
    CHECK(t.proofs.size() <= max_proofs);
    CHECK(t.proof_index.size() == t.proofs.size());
    CHECK(t.suspected.size() <= max_crashes);
    for (const auto& [e, r] : t.crashes) {
        REQUIRE(r.unanswered.size() <= max_lists);
        for (const part_list& parts : r.unanswered) {
            REQUIRE(parts.size() <= max_parts);
        }
    }
    crash_record full{engine(5), 0, at(200s), {}, false, 0};
    for (part_id p = 0; p < 500; ++p) {
        full.unanswered.push_back({p, p + 1});
    }
    merge(t, full);
    CHECK(t.crashes.at(engine(5)).unanswered.size() == max_lists);
    expire(t, at(2h));
    CHECK(t.crashes.empty());
    CHECK(t.present.empty());
    CHECK(t.suspicions.empty());
}
