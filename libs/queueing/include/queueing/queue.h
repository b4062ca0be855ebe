// Scheduling queue of one upstream: by priority, then shortest first, with aging so that long work
// is not starved. Work that cannot meet its deadline is refused before it waits.
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
    // True if it can be preempted and resumed later without losing output.
    bool resumable = false;
    // True if expected_tokens predicts the service time; false for calls to services without
    // engines.
    bool sized = false;
};

struct running_item {
    item work;
    time_point started{};
    std::uint32_t produced_tokens = 0;
    // True if the work was long from the start or has exceeded its estimate.
    bool counts_as_long = false;
};

// Valid: slots >= 1; reserved_for_short < slots.
struct policy {
    std::uint32_t slots = 8;
    // Slots that long work may not use.
    std::uint32_t reserved_for_short = 2;
    // Work with more expected tokens than this is long.
    std::uint32_t long_tokens = 512;
    // Work that has waited this long precedes all other, in order of arrival.
    duration oldest_first_after = std::chrono::seconds(20);
    // FIFO order; for comparison only.
    bool arrival_order = false;
};

// Invariants: running.size() <= slots; long work running <= slots - reserved_for_short, not
// counting work that became long while it ran.
struct queue {
    policy rules;
    std::vector<item> waiting;
    std::map<std::uint64_t, running_item> running;
    // Smoothed tokens per second over all slots; zero until the first sample.
    double tokens_per_second = 0.0;
};

// --- Queries

// Expected remaining tokens of all waiting and running work.
[[nodiscard]] std::uint64_t work_ahead(const queue& q);
// Expected wait of new work of this size and priority; zero while no rate is known.
[[nodiscard]] duration expected_wait(const queue& q, std::uint32_t tokens, priority level);
// Expected time of work of this size in one slot; zero while no rate is known.
[[nodiscard]] duration service_time(const queue& q, std::uint32_t tokens);
// True if `work` should be refused at once because its deadline cannot be met.
[[nodiscard]] bool cannot_meet_deadline(const queue& q, const item& work, time_point now);
// Id of running long, resumable work to preempt for waiting short work; empty if none.
[[nodiscard]] std::optional<std::uint64_t> preemption_victim(const queue& q);

// --- Commands

void enqueue(queue& q, const item& work);
// Starts the next item if a slot is free for it.
[[nodiscard]] std::optional<item> start_next(queue& q, time_point now);
// Removes and returns waiting work that can no longer finish by its deadline.
[[nodiscard]] std::vector<item> take_expired(queue& q, time_point now);
// Removes work that has not started. True if it was waiting.
bool withdraw(queue& q, std::uint64_t id);
// Updates the progress of running work, and counts it as long once it exceeds its estimate.
void progress(queue& q, std::uint64_t id, std::uint32_t produced_tokens);
// Ends running work and updates the rate estimate.
void finish(queue& q, std::uint64_t id, time_point now);

}  // namespace burdockdeck::queueing
