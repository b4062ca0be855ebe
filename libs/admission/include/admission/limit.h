// One limit, two ways to meet it when it is exhausted: the user waits within a time budget, or is
// refused at once. The idea of one counter with two exhaustion strategies is that of "Resource
// broker pressure control"; docs/design/limits.md has the measurement that keeps it.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"

namespace burdockdeck::admission {

struct waiter {
    std::uint64_t id = 0;
    std::uint32_t amount = 1;
    time_point give_up{};
};

// Invariant: in_use rises only while in_use + amount <= capacity. A lowered capacity lets in_use
// stand above it until enough is released.
struct limit {
    std::uint32_t capacity = 0;
    std::uint32_t in_use = 0;
    std::deque<waiter> waiting;
};

// Takes `amount` now; false if there is no room or others wait already.
[[nodiscard]] bool try_acquire(limit& l, std::uint32_t amount);
// Takes `amount` now, or queues until `give_up`. True if it was taken at once.
[[nodiscard]] bool acquire_or_wait(limit& l, const waiter& w);
// Gives `amount` back; returns the waiters that now hold theirs, in order of arrival.
[[nodiscard]] std::vector<waiter> release(limit& l, std::uint32_t amount);
// Changes the capacity; returns the waiters that now hold theirs.
[[nodiscard]] std::vector<waiter> set_capacity(limit& l, std::uint32_t capacity);
// Removes and returns the waiters whose time is over.
[[nodiscard]] std::vector<waiter> take_expired(limit& l, time_point now);
// Removes one waiter. True if it was waiting.
bool withdraw(limit& l, std::uint64_t id);

// --- Shares of a fleet-wide limit

// One holder of a share: what was granted to it, and what it asks for.
struct share {
    std::uint32_t granted = 0;
    // The share that the holder says it keeps to; at most granted.
    std::uint32_t in_force = 0;
    std::uint32_t wanted = 0;
};

// The target for each holder: each keeps one where possible, the rest goes by what is wanted.
// The targets sum to `total` at most.
[[nodiscard]] std::vector<std::uint32_t> divide(std::uint32_t total,
                                                const std::vector<share>& holders);

}  // namespace burdockdeck::admission
