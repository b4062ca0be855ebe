// What one gateway believes of an upstream: what it announced, and what was observed of it.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace burdockdeck::dispatch {

// One part of a prompt; equal ids of one model and adapter are equal tokens.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

// What a request asks of an engine. `model` is empty for a plain service.
struct work {
    std::string model;
    std::string adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    // In order; the last part belongs to the request or its session alone.
    std::vector<prompt_part> parts;
};

// Prompt parts that an engine is believed to keep, the least recently used dropped first.
// Invariants: `tokens` is the sum over `order`; `where` indexes `order`.
struct prefix_cache {
    struct entry {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };
    std::list<entry> order;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> where;
    std::uint64_t tokens = 0;
};

struct loaded_model {
    std::uint32_t version = 0;
    // Adapters with the time until which each is promised to stay.
    std::map<std::string, time_point> adapters;
};

enum class engine_role { any, short_prompts, long_prompts };

// Outcomes of late, smoothed. `errors` is a share in [0, 1]; `slowness` is the observed time over
// the expected one, 1 if as expected.
struct health_record {
    double errors = 0;
    double slowness = 1;
    std::uint32_t failures_in_row = 0;
    time_point ejected_until{};
};

// What the engine's own side last said of its load; `at` is the time of arrival here.
struct load_record {
    time_point at{};
    std::uint32_t waiting = 0;
    std::uint32_t reading = 0;
    std::uint32_t running = 0;
    // Smoothed number of prompts being read: what a stream will meet there.
    double usual_reading = 0;
    // Reading time of what this gateway sent there since, in milliseconds.
    double sent_since_ms = 0;
};

// Invariants: id and address never change; an upstream with another `born_ms` is another upstream.
struct upstream {
    std::string id;
    std::string address;
    std::string service;
    std::string failure_domain;
    std::uint64_t born_ms = 0;
    std::uint32_t slots = 1;
    // False once it drains or has left: it gets no new work.
    bool accepting = true;
    // When it is taken away; the greatest time if it did not say.
    time_point leaves_at = time_point::max();
    time_point cold_until{};
    std::map<std::string, loaded_model, std::less<>> models;
    // What it is kept for, where the engines of its service are divided.
    engine_role role = engine_role::any;
    // Until then it loads no adapter that it does not hold.
    time_point adapters_blocked_until{};

    // Of this gateway's own requests.
    std::uint32_t in_flight = 0;
    // Reading time of prompts that were sent and have made no event yet, in milliseconds.
    double unread_ms = 0;
    std::uint64_t kv_tokens = 0;
    // Reading time of a usual request there, smoothed over this gateway's own, in milliseconds.
    double usual_read_ms = 80;
    load_record load;
    prefix_cache cached;
    health_record health;
};

// --- Queries

// Prompt tokens of `w` that `u` would have to read, by what this gateway sent there.
[[nodiscard]] std::uint32_t tokens_to_read(const upstream& u, const work& w);
// Identifies what `w` shares with other requests and an engine may keep: its adapter, or else the
// shared parts of its prompt for its model; 0 if it shares nothing.
[[nodiscard]] std::uint64_t affinity_key(const work& w);

// Time that `u` needs to read what it has, in milliseconds, by its own word where that is fresh.
[[nodiscard]] double backlog_ms(const upstream& u, time_point now);
// Requests that run at `u`.
[[nodiscard]] std::uint32_t running_at(const upstream& u, time_point now);

// True if `u` told of its load until lately, and has fallen silent.
[[nodiscard]] bool load_is_stale(const upstream& u, time_point now);

// --- Commands

// Takes over what the engine's own side said.
void record_load(upstream& u, std::uint32_t waiting, std::uint32_t reading, std::uint32_t running,
                 time_point now);
// Notes a request whose prompt takes `read_ms` to read.
void record_sent(upstream& u, double read_ms);
// Notes that `u` reads the parts of `w`; `capacity` is its memory in tokens.
void record_cached(upstream& u, const work& w, std::uint64_t capacity);
// Forgets what was kept for `model`, or everything if it is empty.
void clear_cached(upstream& u);

}  // namespace burdockdeck::dispatch
