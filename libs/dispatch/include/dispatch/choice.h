// Load balancing: selects the upstream with the shortest expected time to the first byte. Requests
// with a shared prompt prefix go to an engine that has the prefix cached; upstreams with observed
// errors or slowness are penalised or ejected.
#pragma once

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/name_table.h"
#include "dispatch/roles.h"
#include "dispatch/upstream.h"

namespace burdockdeck::dispatch {

struct choice_settings {
    // Prompt tokens that an engine reads per millisecond; used until the model's own speed has been
    // measured. From the engines' data sheet.
    double read_tokens_per_ms = 38.0;
    // Time that each running request adds to the decoding steps of the others, in milliseconds.
    double batch_cost_ms = 1.5;
    // Penalty for an upstream outside the caller's failure domain, in milliseconds.
    double domain_cost_ms = 12.0;
    // Penalties in milliseconds. For a short prompt: multiplied by the average number of prompts
    // being read at the engine. For a long prompt: multiplied by the number of running streams,
    // whose token gaps it would lengthen.
    double short_prompt_interference_ms = 120.0;
    double long_prompt_interference_ms = 5.0;
    // Penalties in milliseconds: for a long prompt at an engine reserved for short prompts, and for
    // a short prompt at an engine for long ones.
    double long_role_mismatch_ms = 120.0;
    double short_role_mismatch_ms = 80.0;
    role_settings roles;
    // Time that loading an adapter adds, in milliseconds.
    double adapter_cost_ms = 25.0;
    // Penalty for loading an adapter on one more engine, in milliseconds.
    double adapter_replica_cost_ms = 150.0;
    // Expected time of a call to a service without engines, given a free slot, in milliseconds.
    double plain_call_ms = 40.0;
    // Largest share of a service's upstreams that may be ejected at once.
    double max_ejected_share = 0.5;
};

// Why an upstream cannot serve a request.
enum class obstacle {
    none,
    not_accepting,
    leaving,
    leaves_too_soon,
    other_software,
    model_absent,
    adapter_blocked,
    paused,
    rate_limited,
    ejected,
    tried
};

inline constexpr name_table<obstacle, 11> obstacle_names{{
    {obstacle::none, "none"},
    {obstacle::not_accepting, "not_accepting"},
    {obstacle::leaving, "leaving"},
    {obstacle::leaves_too_soon, "leaves_too_soon"},
    {obstacle::other_software, "other_software"},
    {obstacle::model_absent, "model_absent"},
    {obstacle::adapter_blocked, "adapter_blocked"},
    {obstacle::paused, "paused"},
    {obstacle::rate_limited, "rate_limited"},
    {obstacle::ejected, "ejected"},
    {obstacle::tried, "tried"},
}};

struct request_view {
    const work* needs = nullptr;
    std::string_view service;
    std::string_view failure_domain;
    // Ids of the upstreams that this request was already sent to.
    const std::vector<std::string>* tried = nullptr;
    // Software versions of the upstreams that may serve the request; null if any version may.
    const software_set* software = nullptr;
    // Model copies (upstream, model) about to be unloaded; used only if no other copy is eligible.
    const std::set<std::pair<std::string, std::string>>* unloading = nullptr;
    // Prompt tokens of the request's model that an engine reads per millisecond.
    double tokens_per_ms = 38.0;
};

struct choice {
    upstream* to = nullptr;
    // True if the adapter must be loaded first.
    bool needs_adapter = false;
    std::uint32_t read_tokens = 0;
    double read_ms = 0;
    double expected_ms = 0;
};

// --- Queries

// True if the prompt of `w` is long enough to delay other requests.
[[nodiscard]] bool is_long(const work& w, const role_settings& s);

// What the upstream's own answers say against any further request; none if they say nothing.
[[nodiscard]] obstacle notice_of(const upstream& u, time_point now);
[[nodiscard]] obstacle obstacle_to(const upstream& u, const request_view& r, time_point now);
// Expected time to the first byte at `u`, in milliseconds.
[[nodiscard]] double expected_ms(const upstream& u, const request_view& r, const choice_settings& s,
                                 time_point now);
// The best upstream; empty if none can serve the request. Ejected upstreams are considered only if
// no other is eligible, or if more than `max_ejected_share` of them are ejected.
[[nodiscard]] std::optional<choice> choose(const std::vector<upstream*>& all, const request_view& r,
                                           const choice_settings& s, time_point now,
                                           std::mt19937_64& rng);
// If an upstream could serve the request but for a pause or its rate limit, and no other one can:
// the time until the first of these ends. Empty otherwise.
[[nodiscard]] std::optional<duration> time_until_resumption(const std::vector<upstream*>& all,
                                                            const request_view& r, time_point now);
// Baseline for comparison: a uniformly random upstream among the eligible ones.
[[nodiscard]] std::optional<choice> choose_random(const std::vector<upstream*>& all,
                                                  const request_view& r, time_point now,
                                                  std::mt19937_64& rng);

// --- Commands

// Applies a refusal that asks for a pause. It does not shorten an earlier one.
void record_pause(upstream& u, duration pause, time_point now);

enum class attempt_outcome { served, failed, unreachable, silent };

// Updates the health record with the outcome of one attempt. `slowness` is the observed time to the
// first byte divided by the expected one; 0 if unknown.
void record_outcome(upstream& u, attempt_outcome o, double slowness, time_point now);

}  // namespace burdockdeck::dispatch
