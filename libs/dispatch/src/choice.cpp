// Expected times, outlier ejection, and the choice among the eligible upstreams.
#include "dispatch/choice.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "base/checksum.h"

namespace burdockdeck::dispatch {

namespace {

// Weight of the newest outcome in the smoothed health figures.
constexpr double smoothing = 0.2;
// Ejection time after an attempt that failed to connect or got no answer; doubled by each further
// consecutive failure.
constexpr duration first_ejection = std::chrono::milliseconds(250);
constexpr duration max_ejection = std::chrono::seconds(4);
// Consecutive failures after which an upstream that answers, but with errors, is ejected too.
constexpr std::uint32_t errors_to_eject = 4;
// No request is sent to an upstream that shuts down sooner than this.
constexpr duration departure_margin = std::chrono::milliseconds(700);
// Share of the shared parts assumed to be cached at their preferred upstream, to which all gateways
// send them.
constexpr double preferred_cached_share = 0.7;
constexpr double error_weight = 4.0;
constexpr double max_slowness = 8.0;

bool holds_adapter(const upstream& u, const work& w, time_point now) {
    const auto model = u.models.find(w.model);
    if (model == u.models.end()) {
        return false;
    }
    const auto adapter = model->second.adapters.find(w.adapter);
    return adapter != model->second.adapters.end() && adapter->second > now;
}

// Rendezvous hashing: all gateways prefer the same upstream for a key without coordination.
std::uint64_t preference(std::uint64_t key, const upstream& u) {
    return checksum_of(std::to_string(key) + u.id);
}

const upstream* preferred_for(std::uint64_t key, const std::vector<upstream*>& eligible) {
    const upstream* best = nullptr;
    std::uint64_t best_rank = 0;
    for (const upstream* u : eligible) {
        const std::uint64_t rank = preference(key, *u);
        if (best == nullptr || rank > best_rank) {
            best = u;
            best_rank = rank;
        }
    }
    return best;
}

std::uint32_t shared_tokens(const work& w) {
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i + 1 < w.parts.size(); ++i) {
        sum += w.parts[i].tokens;
    }
    return sum;
}

// Short streams and long prompts slow each other down on one engine. This penalty separates them
// over the copies of a model if there are several.
double interference_ms(const upstream& u, const work& w, const choice_settings& s, time_point now) {
    constexpr double max_reading = 1.5;
    constexpr double max_streams = 30;
    if (w.model.empty() || load_is_stale(u, now)) {
        return 0;
    }
    if (!is_long(w, s.roles)) {
        return s.short_prompt_interference_ms * std::min(max_reading, u.load.average_reading);
    }
    const double streams =
        running_at(u, now) - std::min<double>(u.load.reading, running_at(u, now));
    return s.long_prompt_interference_ms * std::min(max_streams, streams);
}

double role_mismatch_ms(const upstream& u, const work& w, const choice_settings& s) {
    const bool long_prompt = is_long(w, s.roles);
    if (u.role == engine_role::short_prompts && long_prompt) {
        return s.long_role_mismatch_ms;
    }
    return u.role == engine_role::long_prompts && !long_prompt ? s.short_role_mismatch_ms : 0;
}

bool ejected(const upstream& u, time_point now) {
    return u.health.ejected_until > now;
}

}  // namespace

bool is_long(const work& w, const role_settings& s) {
    return w.prompt_tokens >= s.long_prompt_tokens;
}

obstacle notice_of(const upstream& u, time_point now) {
    if (u.leaving) {
        return obstacle::leaving;
    }
    return u.paused_until > now ? obstacle::paused : obstacle::none;
}

obstacle obstacle_to(const upstream& u, const request_view& r, time_point now) {
    if (!u.accepting || u.service != r.service) {
        return obstacle::not_accepting;
    }
    if (u.leaving) {
        return obstacle::leaving;
    }
    if (u.leaves_at != time_point::max() && u.leaves_at - now < departure_margin) {
        return obstacle::leaves_too_soon;
    }
    if (r.software != nullptr && !r.software->contains(u.software_version)) {
        return obstacle::other_software;
    }
    if (!r.needs->model.empty() && u.models.find(r.needs->model) == u.models.end()) {
        return obstacle::model_absent;
    }
    if (r.tried != nullptr && std::find(r.tried->begin(), r.tried->end(), u.id) != r.tried->end()) {
        return obstacle::tried;
    }
    if (!r.needs->adapter.empty() && u.adapters_blocked_until > now &&
        !holds_adapter(u, *r.needs, now)) {
        return obstacle::adapter_blocked;
    }
    if (u.paused_until > now) {
        return obstacle::paused;
    }
    if (u.permits_denied_until > now) {
        return obstacle::rate_limited;
    }
    return ejected(u, now) ? obstacle::ejected : obstacle::none;
}

double expected_ms(const upstream& u, const request_view& r, const choice_settings& s,
                   time_point now) {
    double ms = 0;
    if (r.needs->model.empty()) {
        const double load = static_cast<double>(u.in_flight) / std::max<double>(1, u.slots);
        ms = s.plain_call_ms * (1 + 3 * load);
    } else {
        ms = backlog_ms(u, now) + tokens_to_read(u, *r.needs) / r.tokens_per_ms +
             s.batch_cost_ms * running_at(u, now);
        if (!r.needs->adapter.empty() && !holds_adapter(u, *r.needs, now)) {
            ms += s.adapter_cost_ms;
        }
    }
    ms *= std::clamp(u.health.slowness, 1.0, max_slowness) * (1 + error_weight * u.health.errors);
    if (u.cold_until > now) {
        ms *= 1.5;
    }
    return u.failure_domain == r.failure_domain ? ms : ms + s.domain_cost_ms;
}

std::optional<choice> choose(const std::vector<upstream*>& all, const request_view& r,
                             const choice_settings& s, time_point now, std::mt19937_64& rng) {
    std::vector<upstream*> eligible;
    std::vector<upstream*> ejected_upstreams;
    for (upstream* u : all) {
        const obstacle o = obstacle_to(*u, r, now);
        if (o == obstacle::none) {
            eligible.push_back(u);
        } else if (o == obstacle::ejected) {
            ejected_upstreams.push_back(u);
        }
    }
    const auto is_unloading = [&](const upstream* u) {
        return r.unloading != nullptr && r.unloading->contains({u->id, r.needs->model});
    };
    if (!std::all_of(eligible.begin(), eligible.end(), is_unloading)) {
        std::erase_if(eligible, is_unloading);
    }
    const double total = static_cast<double>(eligible.size() + ejected_upstreams.size());
    if (eligible.empty() ||
        static_cast<double>(ejected_upstreams.size()) > s.max_ejected_share * total) {
        eligible.insert(eligible.end(), ejected_upstreams.begin(), ejected_upstreams.end());
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    const std::uint64_t key = affinity_key(*r.needs);
    std::vector<upstream*> role_matches;
    std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(role_matches),
                 [&](const upstream* u) { return role_mismatch_ms(*u, *r.needs, s) == 0; });
    const upstream* preferred =
        key == 0 ? nullptr : preferred_for(key, role_matches.empty() ? eligible : role_matches);
    const double shared_ms = shared_tokens(*r.needs) / r.tokens_per_ms;
    std::uniform_real_distribution<double> jitter(0.0, 1.0);
    choice best;
    best.expected_ms = std::numeric_limits<double>::max();
    for (upstream* u : eligible) {
        double ms = expected_ms(*u, r, s, now) + role_mismatch_ms(*u, *r.needs, s) +
                    interference_ms(*u, *r.needs, s, now) + jitter(rng);
        const std::uint32_t unread = tokens_to_read(*u, *r.needs);
        const bool nothing_cached = unread >= r.needs->prompt_tokens;
        if (!r.needs->adapter.empty()) {
            ms +=
                u == preferred || holds_adapter(*u, *r.needs, now) ? 0 : s.adapter_replica_cost_ms;
        } else if (u == preferred && nothing_cached) {
            ms -= preferred_cached_share * shared_ms;
        } else if (u != preferred && preferred != nullptr && nothing_cached) {
            // Caching the shared parts on one more engine evicts other entries there.
            ms += 0.5 * shared_ms;
        }
        if (ms < best.expected_ms) {
            best = {u, false, unread, unread / r.tokens_per_ms, ms};
        }
    }
    best.needs_adapter = !r.needs->adapter.empty() && !holds_adapter(*best.to, *r.needs, now);
    return best;
}

std::optional<duration> time_until_resumption(const std::vector<upstream*>& all,
                                              const request_view& r, time_point now) {
    std::optional<duration> shortest;
    for (const upstream* u : all) {
        const obstacle o = obstacle_to(*u, r, now);
        if (o == obstacle::none || o == obstacle::ejected) {
            return std::nullopt;
        }
        if (o == obstacle::paused || o == obstacle::rate_limited) {
            const duration left =
                (o == obstacle::paused ? u->paused_until : u->permits_denied_until) - now;
            shortest = shortest ? std::min(*shortest, left) : left;
        }
    }
    return shortest;
}

void record_pause(upstream& u, duration pause, time_point now) {
    u.paused_until = std::max(u.paused_until, now + pause);
}

std::optional<choice> choose_random(const std::vector<upstream*>& all, const request_view& r,
                                    time_point now, std::mt19937_64& rng) {
    std::vector<upstream*> eligible;
    for (upstream* u : all) {
        if (obstacle_to(*u, r, now) == obstacle::none) {
            eligible.push_back(u);
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    upstream* u = eligible[std::uniform_int_distribution<std::size_t>(0, eligible.size() - 1)(rng)];
    return choice{u, !r.needs->adapter.empty() && !holds_adapter(*u, *r.needs, now),
                  tokens_to_read(*u, *r.needs), 0, 0};
}

void record_outcome(upstream& u, attempt_outcome o, double slowness, time_point now) {
    health_record& h = u.health;
    const bool bad = o != attempt_outcome::served;
    h.errors += smoothing * ((bad ? 1.0 : 0.0) - h.errors);
    if (slowness > 0) {
        h.slowness += smoothing * (std::min(slowness, max_slowness) - h.slowness);
    }
    if (!bad) {
        h.failures_in_row = 0;
        h.ejected_until = time_point{};
        return;
    }
    ++h.failures_in_row;
    const bool answered_with_error = o == attempt_outcome::failed;
    if (answered_with_error && h.failures_in_row < errors_to_eject) {
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(h.failures_in_row - 1, 4);
    h.ejected_until = now + std::min(first_ejection * (1 << doublings), max_ejection);
}

}  // namespace burdockdeck::dispatch
