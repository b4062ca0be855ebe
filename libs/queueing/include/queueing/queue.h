// Order of service at one upstream: short work before long, with a bound on the wait of long work,
// priorities, and refusal before the wait when a deadline cannot be met.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"

namespace burdockdeck::queueing {

enum class priority { high, normal, low };

// One piece of work. Sizes are estimates in tokens and may be wrong.
struct item {
    std::uint64_t id = 0;
    std::uint32_t expected_tokens = 1;
    priority level = priority::normal;
    time_point enqueued{};
    time_point deadline{};
    // True if it may be stopped and resumed later without losing output.
    bool resumable = false;
    // True if expected_tokens says how long it takes; calls of plain services say nothing.
    bool sized = false;
};

struct running_item {
    item work;
    time_point started{};
    std::uint32_t produced_tokens = 0;
    // Set once the work has outlived its estimate, or was long from the start.
    bool counts_as_long = false;
};

// Valid: slots >= 1; reserved_for_short < slots.
struct policy {
    std::uint32_t slots = 8;
    // Slots that long work never takes.
    std::uint32_t reserved_for_short = 2;
    // Work of more expected tokens than this is long.
    std::uint32_t long_tokens = 512;
    // Work that has waited this long goes first, in order of arrival.
    duration oldest_first_after = std::chrono::seconds(20);
    // First in, first out; for comparison only.
    bool arrival_order = false;
};

// Invariants: running.size() <= slots; long work running <= slots - reserved_for_short, but for
// work that became long while it ran.
struct queue {
    policy rules;
    std::vector<item> waiting;
    std::map<std::uint64_t, running_item> running;
    // Smoothed tokens a second over all slots; zero until known.
    double tokens_per_second = 0.0;
};

// --- Queries

// Tokens of work that waits or runs, as far as expected.
[[nodiscard]] std::uint64_t work_ahead(const queue& q);
// Expected wait of new work of this size and level; zero while no rate is known.
[[nodiscard]] duration expected_wait(const queue& q, std::uint32_t tokens, priority level);
// Expected time of work of this size in one slot; zero while no rate is known.
[[nodiscard]] duration service_time(const queue& q, std::uint32_t tokens);
// True if `work` should be refused at once because its deadline cannot be met.
[[nodiscard]] bool cannot_meet_deadline(const queue& q, const item& work, time_point now);
// A running piece of long, resumable work to stop for short work that waits, if there is one.
[[nodiscard]] std::optional<std::uint64_t> preemption_victim(const queue& q);

// --- Commands

void enqueue(queue& q, const item& work);
// Starts the next piece of work, if a slot is free for it.
[[nodiscard]] std::optional<item> start_next(queue& q, time_point now);
// Removes and returns work that has waited so long that it could not end by its deadline.
[[nodiscard]] std::vector<item> take_expired(queue& q, time_point now);
// Takes back work that has not started. True if it was waiting.
bool withdraw(queue& q, std::uint64_t id);
// Counts progress of running work; demotes it once it outlives its estimate.
void progress(queue& q, std::uint64_t id, std::uint32_t produced_tokens);
// Ends running work and learns the rate.
void finish(queue& q, std::uint64_t id, time_point now);

}  // namespace burdockdeck::queueing
