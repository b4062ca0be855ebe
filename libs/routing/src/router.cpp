// Scores the candidates and selects one.
#include "routing/router.h"

#include <algorithm>
#include <cmath>

namespace burdockdeck::routing {

namespace {

// Weight of a new sample in the smoothed values.
constexpr double sample_weight = 0.2;
// Seconds per token assumed until the first sample.
constexpr double initial_token_seconds = 0.005;
constexpr duration first_backoff = std::chrono::milliseconds(10);
constexpr duration max_backoff = std::chrono::milliseconds(500);

void smooth(double& value, double sample) {
    value = value <= 0.0 ? sample : value + sample_weight * (sample - value);
}

// Seconds without progress while requests are outstanding.
double stalled_seconds(const observation& o, time_point now) {
    if (o.outstanding == 0) {
        return 0.0;
    }
    return std::max(0.0, to_seconds(now - std::max(o.last_progress, o.outstanding_since)));
}

// Tokens of work that other entries have at the agent, according to the agent's last report. Decays
// with the age of the report.
double others_tokens(const observation& o, const route_settings& settings, time_point now) {
    if (o.reported_tokens <= o.reported_own_tokens) {
        return 0.0;
    }
    const double age = to_seconds(now - o.reported_at) / to_seconds(settings.report_half_life);
    return static_cast<double>(o.reported_tokens - o.reported_own_tokens) * std::exp2(-age);
}

// The candidate's current time to first byte: the smoothed value, or the present stall if longer.
double observed_delay(const candidate& c, time_point now) {
    return std::max(c.seen->first_byte_seconds, stalled_seconds(*c.seen, now));
}

double median_delay(std::span<const candidate> all, time_point now) {
    std::vector<double> delays;
    for (const candidate& c : all) {
        delays.push_back(observed_delay(c, now));
    }
    const auto middle = delays.begin() + static_cast<std::ptrdiff_t>((delays.size() - 1) / 2);
    std::nth_element(delays.begin(), middle, delays.end());
    return *middle;
}

std::vector<std::size_t> usable(std::span<const candidate> all, const route_settings& settings,
                                time_point now) {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const observation& o = *all[i].seen;
        if (o.failures == 0 || now - o.last_failure >= settings.failure_pause) {
            out.push_back(i);
        }
    }
    if (out.empty()) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            out.push_back(i);
        }
    }
    return out;
}

void remove_outstanding(observation& o, std::uint32_t tokens) {
    o.outstanding -= o.outstanding > 0 ? 1 : 0;
    o.outstanding_tokens -= std::min<std::uint64_t>(o.outstanding_tokens, tokens);
}

}  // namespace

double expected_seconds(const candidate& c, std::uint32_t tokens, const route_settings& settings,
                        time_point now) {
    const observation& o = *c.seen;
    const double per_token = o.token_seconds > 0.0 ? o.token_seconds : initial_token_seconds;
    const double queued =
        static_cast<double>(o.outstanding_tokens) + others_tokens(o, settings, now);
    const double wait = queued * per_token / std::max<std::uint32_t>(1, c.slots);
    return wait + tokens * per_token + observed_delay(c, now);
}

bool is_straggler(const candidate& c, std::span<const candidate> all,
                  const route_settings& settings, time_point now) {
    constexpr double min_delay = 0.002;
    const double median = std::max(median_delay(all, now), min_delay);
    return observed_delay(c, now) > settings.straggler_factor * median;
}

std::optional<std::size_t> choose(std::span<const candidate> candidates,
                                  const route_settings& settings, time_point now,
                                  std::mt19937_64& rng) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<std::size_t> pool = usable(candidates, settings, now);
    const bool probe = std::uniform_real_distribution<double>(0.0, 1.0)(rng) < settings.probe_share;
    if (probe) {
        return pool[std::uniform_int_distribution<std::size_t>(0, pool.size() - 1)(rng)];
    }
    std::vector<std::size_t> healthy;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(healthy), [&](std::size_t i) {
        return !is_straggler(candidates[i], candidates, settings, now);
    });
    if (!healthy.empty()) {
        pool = std::move(healthy);
    }
    std::shuffle(pool.begin(), pool.end(), rng);
    pool.resize(std::min<std::size_t>(pool.size(), std::max(2U, settings.sample_size)));
    constexpr std::uint32_t typical_tokens = 64;
    return *std::min_element(pool.begin(), pool.end(), [&](std::size_t a, std::size_t b) {
        return expected_seconds(candidates[a], typical_tokens, settings, now) <
               expected_seconds(candidates[b], typical_tokens, settings, now);
    });
}

void on_sent(observation& o, std::uint32_t tokens, time_point now) {
    if (o.outstanding == 0) {
        o.outstanding_since = now;
    }
    ++o.outstanding;
    o.outstanding_tokens += tokens;
}

void on_first_byte(observation& o, duration since_sent, time_point now) {
    smooth(o.first_byte_seconds, to_seconds(since_sent));
    on_progress(o, now);
}

void on_progress(observation& o, time_point now) {
    o.last_progress = now;
    o.failures = 0;
}

void on_report(observation& o, std::uint64_t queued_tokens, time_point now) {
    o.reported_tokens = queued_tokens;
    o.reported_own_tokens = o.outstanding_tokens;
    o.reported_at = now;
}

void on_done(observation& o, std::uint32_t tokens, duration took, time_point now) {
    remove_outstanding(o, tokens);
    smooth(o.token_seconds, to_seconds(took) / std::max<std::uint32_t>(1, tokens));
    on_progress(o, now);
}

void on_failure(observation& o, std::uint32_t tokens, time_point now) {
    remove_outstanding(o, tokens);
    ++o.failures;
    o.last_failure = now;
}

void on_request(budget& b) {
    b.tokens = std::min(b.limit, b.tokens + b.share);
}

bool try_spend(budget& b) {
    if (b.tokens < 1.0) {
        return false;
    }
    b.tokens -= 1.0;
    return true;
}

duration backoff(std::uint32_t retry, std::mt19937_64& rng) {
    const duration ceiling =
        std::min<duration>(max_backoff, first_backoff * (1LL << std::min(retry, 10U)));
    return duration(std::uniform_int_distribution<duration::rep>(1, ceiling.count())(rng));
}

}  // namespace burdockdeck::routing
