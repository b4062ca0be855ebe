// Choice of an upstream for one request: the shortest expected time to the first byte, with shared
// prompt parts sent where they are kept, and outliers avoided by what was observed of them.
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
    // Prompt tokens that an engine reads in a millisecond while a model's own speed is not learnt;
    // from the engines' data sheet.
    double read_tokens_per_ms = 38.0;
    // Time that each running request adds to the others' steps, in milliseconds.
    double batch_cost_ms = 1.5;
    // Price of leaving the caller's failure domain, in milliseconds.
    double domain_cost_ms = 12.0;
    // Price for a short prompt of each long one usually being read beside it, and for a long prompt
    // of each stream whose pauses it would stretch, in milliseconds.
    double beside_reading_ms = 120.0;
    double stretched_stream_ms = 5.0;
    // Price of a long prompt where short streams run, and of a short one where long prompts are
    // read, in milliseconds.
    double long_misplaced_ms = 120.0;
    double short_misplaced_ms = 80.0;
    role_settings roles;
    // Time that a load of an adapter adds, in milliseconds.
    double adapter_cost_ms = 25.0;
    // Price of having an adapter in one more place, in milliseconds.
    double adapter_spread_ms = 150.0;
    // Expected time of a call to a plain service with a free slot, in milliseconds.
    double plain_call_ms = 40.0;
    // Largest share of a service's upstreams that may be ejected at once.
    double max_ejected_share = 0.5;
};

// Why an upstream cannot take a request.
enum class obstacle {
    none,
    not_accepting,
    leaves_too_soon,
    model_absent,
    adapter_blocked,
    ejected,
    tried
};

inline constexpr name_table<obstacle, 7> obstacle_names{{
    {obstacle::none, "none"},
    {obstacle::not_accepting, "not_accepting"},
    {obstacle::leaves_too_soon, "leaves_too_soon"},
    {obstacle::model_absent, "model_absent"},
    {obstacle::adapter_blocked, "adapter_blocked"},
    {obstacle::ejected, "ejected"},
    {obstacle::tried, "tried"},
}};

struct request_view {
    const work* needs = nullptr;
    std::string_view service;
    std::string_view failure_domain;
    // Ids that this request was sent to already.
    const std::vector<std::string>* tried = nullptr;
    // Copies about to be unloaded; taken only when there is no other.
    const std::set<std::pair<std::string, std::string>>* unloading = nullptr;
    // Prompt tokens of its model that an engine reads in a millisecond.
    double tokens_per_ms = 38.0;
};

struct choice {
    upstream* to = nullptr;
    // True if the adapter has to be loaded first.
    bool needs_adapter = false;
    std::uint32_t read_tokens = 0;
    double read_ms = 0;
    double expected_ms = 0;
};

// --- Queries

// True if the prompt of `w` is long enough to hold up others.
[[nodiscard]] bool is_long(const work& w, const role_settings& s);

[[nodiscard]] obstacle obstacle_to(const upstream& u, const request_view& r, time_point now);
// The expected time to the first byte at `u`, in milliseconds.
[[nodiscard]] double expected_ms(const upstream& u, const request_view& r, const choice_settings& s,
                                 time_point now);
// The best upstream; empty if none can take the request. Ejected ones are taken when nothing else
// is left, or when more than the allowed share is ejected.
[[nodiscard]] std::optional<choice> choose(const std::vector<upstream*>& all, const request_view& r,
                                           const choice_settings& s, time_point now,
                                           std::mt19937_64& rng);
// The naive version: any upstream that has no obstacle, each as likely.
[[nodiscard]] std::optional<choice> choose_random(const std::vector<upstream*>& all,
                                                  const request_view& r, time_point now,
                                                  std::mt19937_64& rng);

// --- Commands

enum class attempt_outcome { served, failed, unreachable, silent };

// Takes the outcome of one attempt into account. `slowness` is its time to the first byte over the
// expected one, 0 if unknown.
void record_outcome(upstream& u, attempt_outcome o, double slowness, time_point now);

}  // namespace burdockdeck::dispatch
