// Acquisition with a wait queue, and fair division of a fleet-wide limit.
#include "admission/limit.h"

#include <algorithm>
#include <numeric>

namespace burdockdeck::admission {

namespace {

bool fits(const limit& l, std::uint32_t amount) {
    return std::uint64_t{l.in_use} + amount <= l.capacity;
}

std::vector<waiter> serve_waiting(limit& l) {
    std::vector<waiter> served;
    while (!l.waiting.empty() && fits(l, l.waiting.front().amount)) {
        l.in_use += l.waiting.front().amount;
        served.push_back(l.waiting.front());
        l.waiting.pop_front();
    }
    return served;
}

}  // namespace

bool try_acquire(limit& l, std::uint32_t amount) {
    if (!l.waiting.empty() || !fits(l, amount)) {
        return false;
    }
    l.in_use += amount;
    return true;
}

bool acquire_or_wait(limit& l, const waiter& w) {
    if (try_acquire(l, w.amount)) {
        return true;
    }
    l.waiting.push_back(w);
    return false;
}

std::vector<waiter> release(limit& l, std::uint32_t amount) {
    l.in_use -= std::min(l.in_use, amount);
    return serve_waiting(l);
}

std::vector<waiter> set_capacity(limit& l, std::uint32_t capacity) {
    l.capacity = capacity;
    return serve_waiting(l);
}

std::vector<waiter> take_expired(limit& l, time_point now) {
    std::vector<waiter> expired;
    std::erase_if(l.waiting, [&](const waiter& w) {
        if (w.deadline > now) {
            return false;
        }
        expired.push_back(w);
        return true;
    });
    return expired;
}

bool withdraw(limit& l, std::uint64_t id) {
    return std::erase_if(l.waiting, [id](const waiter& w) { return w.id == id; }) > 0;
}

std::vector<std::uint32_t> divide(std::uint32_t total, const std::vector<share>& holders) {
    std::vector<std::uint32_t> targets(holders.size(), 0);
    std::uint32_t remaining = total;
    // Each holder first gets one, so that its first use needs no round trip.
    for (std::size_t i = 0; i < holders.size() && remaining > 0; ++i) {
        targets[i] = 1;
        --remaining;
    }
    // Max-min fairness: satisfies the smallest demand first and divides the rest among the others.
    std::vector<std::size_t> order(holders.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return holders[a].wanted < holders[b].wanted; });
    for (std::size_t k = 0; k < order.size(); ++k) {
        const std::size_t i = order[k];
        const auto holders_left = static_cast<std::uint32_t>(order.size() - k);
        const std::uint32_t unmet =
            holders[i].wanted > targets[i] ? holders[i].wanted - targets[i] : 0;
        const std::uint32_t fair = (remaining + holders_left - 1) / holders_left;
        const std::uint32_t extra = std::min({unmet, fair, remaining});
        targets[i] += extra;
        remaining -= extra;
    }
    return targets;
}

}  // namespace burdockdeck::admission
