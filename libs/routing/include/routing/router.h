// Load balancing of an entry over agents. Combines the entry's own outstanding work, the agents'
// queue reports, discounted by age because they arrive late, and the progress that the entry
// observes itself.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "base/time.h"

namespace burdockdeck::routing {

// What one entry has observed of one agent.
struct observation {
    std::uint32_t outstanding = 0;
    std::uint64_t outstanding_tokens = 0;
    // The agent's last queue report: work of all entries, in tokens.
    std::uint64_t reported_tokens = 0;
    // This entry's own part of the reported work; `reported_at` is the time of arrival.
    std::uint64_t reported_own_tokens = 0;
    time_point reported_at{};
    // Smoothed seconds from dispatch to the first byte; zero until the first sample.
    double first_byte_seconds = 0.0;
    // Smoothed seconds per token of work; zero until the first sample.
    double token_seconds = 0.0;
    // Time of the last response data, and the time since which requests have been outstanding.
    time_point last_progress{};
    time_point outstanding_since{};
    // Consecutive connection failures.
    std::uint32_t failures = 0;
    time_point last_failure{};
};

struct route_settings {
    // Half-life of the weight of a report.
    duration report_half_life = std::chrono::milliseconds(500);
    // Candidates compared for each choice, drawn at random so that entries do not all choose the
    // same agent. At least two are compared.
    std::uint32_t sample_size = 3;
    // An upstream this many times slower than the median of its peers counts as a straggler.
    double straggler_factor = 3.0;
    // Share of choices made at random, so that stragglers are probed again.
    double probe_share = 0.02;
    // For this time after a connection failure, an agent is chosen only if all others have failed
    // too.
    duration failure_pause = std::chrono::milliseconds(500);
};

// One agent that could serve a request.
struct candidate {
    const observation* seen = nullptr;
    std::uint32_t slots = 1;
};

// The index of the candidate to use; nullopt if there is none.
[[nodiscard]] std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                                const route_settings& settings, time_point now,
                                                std::mt19937_64& rng);

// Expected seconds until an additional request of `tokens` would complete at the candidate.
[[nodiscard]] double expected_seconds(const candidate& c, std::uint32_t tokens,
                                      const route_settings& settings, time_point now);

// True if the candidate is much slower than the median of all.
[[nodiscard]] bool is_straggler(const candidate& c, std::span<const candidate> all,
                                const route_settings& settings, time_point now);

// --- Commands on observations

void on_sent(observation& o, std::uint32_t tokens, time_point now);
void on_first_byte(observation& o, duration since_sent, time_point now);
void on_progress(observation& o, time_point now);
void on_report(observation& o, std::uint64_t queued_tokens, time_point now);
// `tokens` as passed to on_sent; `took` is the time from dispatch to completion.
void on_done(observation& o, std::uint32_t tokens, duration took, time_point now);
void on_failure(observation& o, std::uint32_t tokens, time_point now);

// --- Retry and hedge budgets

// A token bucket: each request adds `share`, each retry or hedge takes one token.
struct budget {
    double share = 0.05;
    double limit = 10.0;
    double tokens = 1.0;
};

void on_request(budget& b);
// Takes one token; false if the budget allows no extra attempt now.
[[nodiscard]] bool try_spend(budget& b);

// Delay before retry number `retry` (from 0): capped exponential backoff with full jitter.
[[nodiscard]] duration backoff(std::uint32_t retry, std::mt19937_64& rng);

}  // namespace burdockdeck::routing
