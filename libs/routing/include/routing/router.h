// Choice of an upstream by an entry: own outstanding work, queue reports aged by their time, and
// progress observed by the entry itself. Reports are late; what the entry sees is not.
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
    // The agent's last report of its queue: everyone's work, in tokens, and when it arrived.
    std::uint64_t reported_tokens = 0;
    // What of it was this entry's own work at that time.
    std::uint64_t reported_own_tokens = 0;
    time_point reported_at{};
    // Smoothed seconds from dispatch to the first byte; zero until seen.
    double first_byte_seconds = 0.0;
    // Smoothed seconds for one token of work; zero until seen.
    double token_seconds = 0.0;
    // When something last came back, and since when something is owed.
    time_point last_progress{};
    time_point owed_since{};
    // Connection failures in a row.
    std::uint32_t failures = 0;
    time_point last_failure{};
};

struct route_settings {
    // How fast a report loses its weight.
    duration report_half_life = std::chrono::milliseconds(500);
    // Candidates compared for each choice; two or more keep entries from herding.
    std::uint32_t sample_size = 3;
    // An upstream this many times slower than the median of its peers counts as a straggler.
    double straggler_factor = 3.0;
    // Share of choices that probe a straggler again.
    double probe_share = 0.02;
    // After a connection failure an agent is tried again only when no other is left, for this time.
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

// Expected seconds until one more piece of work of `tokens` would end there.
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
// `tokens` as given to on_sent; `took` from dispatch to the end.
void on_done(observation& o, std::uint32_t tokens, duration took, time_point now);
void on_failure(observation& o, std::uint32_t tokens, time_point now);

// --- Retry and hedge budgets

// A bucket filled by requests: each adds `share`, each retry or hedge takes one.
struct budget {
    double share = 0.05;
    double limit = 10.0;
    double tokens = 1.0;
};

void on_request(budget& b);
// True if one extra attempt may be made now.
[[nodiscard]] bool try_spend(budget& b);

// Wait before retry number `retry` (from 0): exponential with full jitter, capped.
[[nodiscard]] duration backoff(std::uint32_t retry, std::mt19937_64& rng);

}  // namespace burdockdeck::routing
