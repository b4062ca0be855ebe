// A counting limit. When it is exhausted, a request either waits up to a deadline or is refused at
// once. One counter with two such strategies is the design "Resource broker pressure control";
// docs/design/limits.md gives the reasons of the design.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"

namespace burdockdeck::admission {

struct waiter {
    std::uint64_t id = 0;
    std::uint32_t amount = 1;
    time_point deadline{};
};

// Invariant: an acquisition never raises in_use above capacity. After the capacity is lowered,
// in_use may exceed it until enough is released.
struct limit {
    std::uint32_t capacity = 0;
    std::uint32_t in_use = 0;
    std::deque<waiter> waiting;
};

// Acquires `amount` now; false if the limit is exhausted or others already wait.
[[nodiscard]] bool try_acquire(limit& l, std::uint32_t amount);
// Acquires `w.amount` now, or queues until `w.deadline`. True if acquired at once.
[[nodiscard]] bool acquire_or_wait(limit& l, const waiter& w);
// Releases `amount`; returns the waiters that could now acquire theirs, in order of arrival.
[[nodiscard]] std::vector<waiter> release(limit& l, std::uint32_t amount);
// Changes the capacity; returns the waiters that could now acquire theirs.
[[nodiscard]] std::vector<waiter> set_capacity(limit& l, std::uint32_t capacity);
// Removes and returns the waiters whose deadline has passed.
[[nodiscard]] std::vector<waiter> take_expired(limit& l, time_point now);
// Removes one waiter. True if it was waiting.
bool withdraw(limit& l, std::uint64_t id);

// --- Shares of a fleet-wide limit

// One holder's share: what was granted to it, and what it requests.
struct share {
    std::uint32_t granted = 0;
    // The share in effect, as reported by the holder; at most `granted`.
    std::uint32_t in_force = 0;
    std::uint32_t wanted = 0;
};

// Max-min fair targets: each holder gets one if possible, the rest is divided by demand. The
// targets sum to at most `total`.
[[nodiscard]] std::vector<std::uint32_t> divide(std::uint32_t total,
                                                const std::vector<share>& holders);

}  // namespace burdockdeck::admission
