// Ranking, admission and preemption of queued work.
#include "queueing/queue.h"

#include <algorithm>
#include <tuple>

namespace burdockdeck::queueing {

namespace {

// Weight of a new sample in the smoothed rate.
constexpr double rate_weight = 0.2;
// Work may exceed its estimate by this factor before it counts as long.
constexpr std::uint32_t estimate_slack = 2;

// Work is started only if at least this share of its expected service time is left.
constexpr double min_time_share = 0.8;

bool is_long(const policy& rules, const item& work) {
    return work.expected_tokens > rules.long_tokens;
}

std::uint32_t running_long(const queue& q) {
    return static_cast<std::uint32_t>(std::count_if(
        q.running.begin(), q.running.end(), [](const auto& r) { return r.second.counts_as_long; }));
}

bool slot_free_for(const queue& q, const item& work) {
    if (q.running.size() >= q.rules.slots) {
        return false;
    }
    if (q.rules.arrival_order || !is_long(q.rules, work)) {
        return true;
    }
    return running_long(q) < q.rules.slots - q.rules.reserved_for_short;
}

// Sort key, lowest first: aged work by arrival, then the rest by priority and by size, where the
// size shrinks with the wait.
std::tuple<int, int, double, std::uint64_t> rank(const queue& q, const item& work, time_point now) {
    const duration waited = now - work.enqueued;
    if (q.rules.arrival_order || waited >= q.rules.oldest_first_after) {
        return {0, 0, to_seconds(work.enqueued.time_since_epoch()), work.id};
    }
    const double age = to_seconds(waited) / to_seconds(q.rules.oldest_first_after);
    const double size = static_cast<double>(work.expected_tokens) * (1.0 - age);
    return {1, static_cast<int>(work.level), size, work.id};
}

std::uint64_t remaining(const running_item& r) {
    return r.work.expected_tokens > r.produced_tokens ? r.work.expected_tokens - r.produced_tokens
                                                      : 1;
}

// True if work that starts at `start` would most likely end after its deadline. If a slot is free,
// only the deadline itself is checked: a rate measured in a slow phase would otherwise refuse all
// work, and no new sample could correct it.
bool misses_deadline(const queue& q, const item& work, time_point start) {
    if (work.deadline == time_point::max()) {
        return false;
    }
    duration needed = duration::zero();
    if (work.sized && q.running.size() >= q.rules.slots) {
        needed = std::chrono::duration_cast<duration>(service_time(q, work.expected_tokens) *
                                                      min_time_share);
    }
    return start + needed >= work.deadline;
}

}  // namespace

std::uint64_t work_ahead(const queue& q) {
    std::uint64_t tokens = 0;
    for (const item& work : q.waiting) {
        tokens += work.expected_tokens;
    }
    for (const auto& [id, r] : q.running) {
        tokens += remaining(r);
    }
    return tokens;
}

duration expected_wait(const queue& q, std::uint32_t tokens, priority level) {
    if (q.tokens_per_second <= 0.0 || q.running.size() < q.rules.slots) {
        return duration::zero();
    }
    std::uint64_t ahead = 0;
    for (const item& work : q.waiting) {
        const bool before = q.rules.arrival_order || work.level < level ||
                            (work.level == level && work.expected_tokens <= tokens);
        ahead += before ? work.expected_tokens : 0;
    }
    // The running item with the least work left must end before the next item starts.
    std::uint64_t min_remaining = UINT64_MAX;
    for (const auto& [id, r] : q.running) {
        min_remaining = std::min(min_remaining, remaining(r));
    }
    const double slot_rate = q.tokens_per_second / q.rules.slots;
    const double seconds = static_cast<double>(ahead) / q.tokens_per_second +
                           static_cast<double>(min_remaining) / slot_rate;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

duration service_time(const queue& q, std::uint32_t tokens) {
    if (q.tokens_per_second <= 0.0) {
        return duration::zero();
    }
    const double seconds = tokens / (q.tokens_per_second / q.rules.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

bool cannot_meet_deadline(const queue& q, const item& work, time_point now) {
    const duration wait =
        work.sized ? expected_wait(q, work.expected_tokens, work.level) : duration::zero();
    return misses_deadline(q, work, now + wait);
}

std::optional<std::uint64_t> preemption_victim(const queue& q) {
    if (q.running.size() < q.rules.slots || q.rules.arrival_order) {
        return std::nullopt;
    }
    const bool short_work_waiting =
        std::any_of(q.waiting.begin(), q.waiting.end(),
                    [&](const item& work) { return !is_long(q.rules, work); });
    if (!short_work_waiting) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> victim;
    std::uint64_t max_remaining = q.rules.long_tokens;
    for (const auto& [id, r] : q.running) {
        if (r.counts_as_long && r.work.resumable && remaining(r) > max_remaining) {
            victim = id;
            max_remaining = remaining(r);
        }
    }
    return victim;
}

void enqueue(queue& q, const item& work) {
    q.waiting.push_back(work);
}

std::optional<item> start_next(queue& q, time_point now) {
    const item* best = nullptr;
    for (const item& work : q.waiting) {
        if (!slot_free_for(q, work)) {
            continue;
        }
        if (best == nullptr || rank(q, work, now) < rank(q, *best, now)) {
            best = &work;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const item started = *best;
    (void)withdraw(q, started.id);
    q.running[started.id] = {started, now, 0, is_long(q.rules, started)};
    return started;
}

std::vector<item> take_expired(queue& q, time_point now) {
    std::vector<item> expired;
    std::erase_if(q.waiting, [&](const item& work) {
        if (!misses_deadline(q, work, now)) {
            return false;
        }
        expired.push_back(work);
        return true;
    });
    return expired;
}

bool withdraw(queue& q, std::uint64_t id) {
    return std::erase_if(q.waiting, [id](const item& work) { return work.id == id; }) > 0;
}

void progress(queue& q, std::uint64_t id, std::uint32_t produced_tokens) {
    const auto found = q.running.find(id);
    if (found == q.running.end()) {
        return;
    }
    running_item& r = found->second;
    r.produced_tokens = produced_tokens;
    const bool exceeded_estimate = produced_tokens > r.work.expected_tokens * estimate_slack &&
                                   produced_tokens > q.rules.long_tokens;
    r.counts_as_long = r.counts_as_long || exceeded_estimate;
}

void finish(queue& q, std::uint64_t id, time_point now) {
    const auto found = q.running.find(id);
    if (found == q.running.end()) {
        return;
    }
    const running_item& r = found->second;
    const double seconds = to_seconds(now - r.started);
    if (seconds > 0.0 && r.produced_tokens > 0) {
        const double rate_per_slot = r.produced_tokens / seconds;
        const double sample = rate_per_slot * q.rules.slots;
        q.tokens_per_second =
            q.tokens_per_second <= 0.0
                ? sample
                : q.tokens_per_second + rate_weight * (sample - q.tokens_per_second);
    }
    q.running.erase(found);
}

}  // namespace burdockdeck::queueing
