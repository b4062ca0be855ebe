// The limit on the bytes of answers that are held at once.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

#include "answer_memory.h"
#include "event_splitter.h"

using namespace burdockdeck::gateway;

namespace {

constexpr std::size_t kib = 1024;

}  // namespace

// Guards against upstreams whose endless answers together exhaust the gateway's memory.
TEST_CASE("the largest answers are dropped while the limit is exceeded") {
    answer_memory memory;
    memory.limit = 1000 * kib;
    std::vector<int> dropped(5, 0);
    std::vector<std::unique_ptr<answer_hold>> holds;
    for (std::size_t i = 0; i < dropped.size(); ++i) {
        holds.push_back(std::make_unique<answer_hold>(memory, [&dropped, i] { ++dropped[i]; }));
    }
    holds[0]->resize(300 * kib);
    holds[1]->resize(400 * kib);
    holds[2]->resize(200 * kib);
    CHECK(dropped == std::vector<int>{0, 0, 0, 0, 0});
    // A small answer goes over the limit: the largest one is dropped.
    holds[3]->resize(150 * kib);
    CHECK(dropped == std::vector<int>{0, 1, 0, 0, 0});
    CHECK(holds[1]->dropped());
    CHECK(memory.held == 650 * kib);
    // A dropped answer that receives more bytes does not count again.
    holds[1]->resize(500 * kib);
    CHECK(memory.held == 650 * kib);
    // The growing answer is itself the largest.
    holds[4]->resize(360 * kib);
    CHECK(dropped == std::vector<int>{0, 1, 0, 0, 1});
    holds.clear();
    CHECK(memory.held == 0);
    CHECK(memory.holds.empty());
}

TEST_CASE("answers of ordinary size are kept") {
    answer_memory memory;
    memory.limit = 100 * kib;
    int dropped = 0;
    std::vector<std::unique_ptr<answer_hold>> holds;
    for (int i = 0; i < 4; ++i) {
        holds.push_back(std::make_unique<answer_hold>(memory, [&dropped] { ++dropped; }));
        holds.back()->resize(min_dropped_bytes);
    }
    CHECK(dropped == 0);
    holds[0]->resize(min_dropped_bytes + 1);
    CHECK(dropped == 1);
}

TEST_CASE("events are split at the same places however their bytes arrive") {
    const unsigned seed = 7;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const std::string letters = "a:\r\n\n\n";
    for (int run = 0; run < 3000; ++run) {
        std::string text;
        const std::size_t length = rng() % 40;
        while (text.size() < length) {
            text += letters[rng() % letters.size()];
        }
        event_splitter whole;
        const std::string expected = extract_events(whole, text);
        event_splitter parts;
        std::string events;
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = 1 + rng() % 4;
            events += extract_events(parts, std::string_view(text).substr(at, size));
            at += size;
        }
        CAPTURE(text);
        REQUIRE(events == expected);
        REQUIRE(parts.pending == whole.pending);
        REQUIRE(parts.events == whole.events);
        // Nothing that looks like the end of an event is left.
        REQUIRE(whole.pending.find("\n\n") == std::string::npos);
        REQUIRE(whole.pending.find("\r\n\r\n") == std::string::npos);
    }
}

// Guards against comments and empty lines without end, which are no answer.
TEST_CASE("bytes without data are counted until an event with data or an id") {
    event_splitter s;
    (void)extract_events(s, ": a\n\n\n\n");
    CHECK(s.bytes_without_data == 7);
    (void)extract_events(s, "data: x\n\n");
    CHECK(s.bytes_without_data == 0);
    (void)extract_events(s, "\r\n\r\n");
    CHECK(s.bytes_without_data == 4);
    (void)extract_events(s, "id: 3\n\n");
    CHECK(s.bytes_without_data == 0);
}

// Guards against streams that keep the memory of their longest event until they end.
TEST_CASE("a splitter releases the memory of a long event") {
    event_splitter s;
    const std::string piece(16 * kib, 'x');
    (void)extract_events(s, "data: ");
    for (int i = 0; i < 40; ++i) {
        CHECK(extract_events(s, piece).empty());
    }
    CHECK(extract_events(s, "\n\ndata: y").size() == 6 + 640 * kib + 2);
    CHECK(s.pending == "data: y");
    CHECK(s.pending.capacity() <= min_dropped_bytes);
}
