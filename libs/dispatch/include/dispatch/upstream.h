// One gateway's view of an upstream: its announcement, and what the gateway observed itself.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "ratelimit/permits.h"

namespace burdockdeck::dispatch {

// One part of a prompt. For one model and adapter, parts with equal ids have equal tokens.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// What a request needs from an upstream. `model` is empty for a service without engines.
struct work {
    std::string model;
    std::string adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    // In prompt order; the last part is specific to the request or its session, never shared.
    std::vector<prompt_part> parts;
};

// Estimate of the prompt parts in an engine's prefix cache, with LRU eviction.
// Invariants: `tokens` is the sum over `lru`; `index` maps each key to its element of `lru`.
struct prefix_cache {
    struct entry {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };
    std::list<entry> lru;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> index;
    std::uint64_t tokens = 0;
};

struct loaded_model {
    std::uint32_t version = 0;
    // Loaded adapters, each with the time until which the engine guarantees to keep it.
    std::map<std::string, time_point> adapters;
};

// Software versions of upstreams.
using software_set = std::set<std::string, std::less<>>;

enum class engine_role { any, short_prompts, long_prompts };

// Identifies one start of an upstream.
struct incarnation {
    std::string id;
    std::string address;
    std::uint64_t born_ms = 0;
    std::string software_version = {};
};

// Smoothed recent outcomes. `errors` is a share in [0, 1]; `slowness` is the observed time divided
// by the expected one.
struct health_record {
    double errors = 0;
    double slowness = 1;
    std::uint32_t failures_in_row = 0;
    time_point ejected_until{};
};

// The load last reported by the engine's sidecar; `at` is the time of arrival at this gateway.
struct load_record {
    time_point at{};
    std::uint32_t waiting = 0;
    std::uint32_t reading = 0;
    std::uint32_t running = 0;
    // Average number of prompts being read: the interference that a new stream has to expect.
    double average_reading = 0;
    // Reading time of the requests that this gateway sent since the report, in milliseconds.
    double sent_since_ms = 0;
    // When the oldest question that has not been answered was sent; the zero time if there is none.
    time_point asked_at{};
};

// Invariants: id and address never change; a different `born_ms` means a different upstream.
struct upstream {
    std::string id;
    std::string address;
    std::string service;
    std::string failure_domain;
    // Of its software, not of its weights.
    std::string software_version;
    std::uint64_t born_ms = 0;
    std::uint32_t slots = 1;
    // False once the upstream drains or has left; it then gets no new work.
    bool accepting = true;
    // When it ceased to accept; the zero time if it has not.
    time_point withdrawn_at{};
    // True once one of its answers or its engine's reports said that it leaves; it then gets no new
    // requests. Ends with the incarnation.
    bool leaving = false;
    // Until this time it wants no requests from this gateway, as its refusals said.
    time_point paused_until{};
    // The rate limit in its answers. Ends with the incarnation.
    ratelimit::stated_limit limit;
    // When an answer to this gateway last said something of a limit.
    time_point limit_heard_at{};
    // Until this time there is no permit for a request of this gateway.
    time_point permits_denied_until{};
    // Paces requests while no control instance grants permits.
    ratelimit::bucket own_permits;
    // Announced time of shutdown; time_point::max() if none was announced.
    time_point leaves_at = time_point::max();
    time_point cold_until{};
    std::map<std::string, loaded_model, std::less<>> models;
    // Models whose weights are on the engine's host, so that it loads them faster.
    std::set<std::string, std::less<>> weights_in_memory;
    std::set<std::string, std::less<>> weights_on_disk;
    // Prompt lengths that it serves, if the engines of its service are divided.
    engine_role role = engine_role::any;
    // Until this time the engine loads no further adapter.
    time_point adapters_blocked_until{};

    // Only requests sent by this gateway.
    std::uint32_t in_flight = 0;
    // Reading time of prompts that were sent and have produced no event yet, in milliseconds.
    double unread_ms = 0;
    std::uint64_t kv_tokens = 0;
    // Smoothed reading time of this gateway's requests at this upstream, in milliseconds.
    double average_read_ms = 80;
    load_record load;
    prefix_cache cached;
    health_record health;
};

// --- Queries

[[nodiscard]] incarnation incarnation_of(const upstream& u);
[[nodiscard]] bool is_incarnation(const upstream& u, const incarnation& i);

// Prompt tokens of `w` that `u` does not have cached, estimated from what this gateway sent there.
[[nodiscard]] std::uint32_t tokens_to_read(const upstream& u, const work& w);
// Key for routing requests that share state to the same engine: the adapter, or else the shared
// prompt prefix of the model; 0 if the request shares nothing.
[[nodiscard]] std::uint64_t affinity_key(const work& w);

// Time that `u` needs to read its queued prompts, in milliseconds. Based on the engine's own report
// if that is recent, otherwise on this gateway's requests.
[[nodiscard]] double backlog_ms(const upstream& u, time_point now);
// Number of requests running at `u`. Based on the engine's own report if that is recent, otherwise
// on this gateway's requests.
[[nodiscard]] std::uint32_t running_at(const upstream& u, time_point now);

// True if `u` has not reported its load although it was asked some time ago.
[[nodiscard]] bool load_is_stale(const upstream& u, time_point now);

// --- Commands

// Stores a load report of the engine's sidecar.
void record_load(upstream& u, std::uint32_t waiting, std::uint32_t reading, std::uint32_t running,
                 double average_reading, time_point now);
// Records that the engine's sidecar was asked for a report.
void record_load_asked(upstream& u, time_point now);
// Accounts for a request whose prompt takes `read_ms` to read.
void record_sent(upstream& u, double read_ms);
// Adds the parts of `w` to the estimated prefix cache of `u`; `capacity` is its size in tokens.
void record_cached(upstream& u, const work& w, std::uint64_t capacity);
// Empties the estimated prefix cache.
void clear_cached(upstream& u);

}  // namespace burdockdeck::dispatch
