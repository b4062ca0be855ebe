// Estimates of the cached prompt parts and of the backlog of an upstream.
#include "dispatch/upstream.h"

#include <algorithm>

#include "base/checksum.h"

namespace burdockdeck::dispatch {

namespace {

// Maximum age at which a load report is still used.
constexpr duration load_max_age = std::chrono::milliseconds(400);
// Mean share of a prompt that is still unread while it is being read.
constexpr double mean_unread_share = 0.6;
constexpr double read_time_smoothing = 0.05;
// Time without an answer after which an engine's load is stale. Subscribers get a beacon every
// 300 ms, and two beacons in a row are unlikely to be lost at random.
constexpr duration load_stale = std::chrono::milliseconds(700);

std::uint64_t seed_of(const work& w) {
    return checksum_of(w.model + "/" + w.adapter);
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x ^= x >> 31;
    x *= 0xbf58476d1ce4e5b9ULL;
    return x ^ (x >> 29);
}

// Visits the key of each part in order. A key covers its part and all parts before it, because a
// cached part is usable only with its whole prefix.
template <class Visit>
void for_each_key(const work& w, Visit visit) {
    std::uint64_t key = seed_of(w);
    for (const prompt_part& p : w.parts) {
        key = mix(key, p.id);
        if (!visit(key, p)) {
            return;
        }
    }
}

}  // namespace

incarnation incarnation_of(const upstream& u) {
    return {u.id, u.address, u.born_ms, u.software_version};
}

bool is_incarnation(const upstream& u, const incarnation& i) {
    return u.id == i.id && u.address == i.address && u.born_ms == i.born_ms;
}

std::uint32_t tokens_to_read(const upstream& u, const work& w) {
    std::uint32_t cached = 0;
    for_each_key(w, [&](std::uint64_t key, const prompt_part& p) {
        if (!u.cached.index.contains(key)) {
            return false;
        }
        cached += p.tokens;
        return true;
    });
    return w.prompt_tokens > cached ? w.prompt_tokens - cached : 1;
}

std::uint64_t affinity_key(const work& w) {
    if (!w.adapter.empty()) {
        // Engines hold few adapters, so all work of one adapter goes to the same engine.
        return seed_of(w);
    }
    if (w.parts.size() < 2) {
        return 0;
    }
    std::uint64_t last_shared = 0;
    for_each_key(w, [&](std::uint64_t key, const prompt_part& p) {
        if (&p == &w.parts.back()) {
            return false;
        }
        last_shared = key;
        return true;
    });
    return last_shared;
}

double backlog_ms(const upstream& u, time_point now) {
    const duration age = now - u.load.at;
    if (age > load_max_age) {
        return u.unread_ms;
    }
    const double reported_ms =
        (u.load.waiting + mean_unread_share * u.load.reading) * u.average_read_ms +
        u.load.sent_since_ms;
    return std::max(0.0, reported_ms - 1000 * to_seconds(age));
}

std::uint32_t running_at(const upstream& u, time_point now) {
    return now - u.load.at > load_max_age ? u.in_flight : u.load.running;
}

bool load_is_stale(const upstream& u, time_point now) {
    return u.load.asked_at != time_point{} && now - u.load.asked_at > load_stale;
}

void record_load(upstream& u, std::uint32_t waiting, std::uint32_t reading, std::uint32_t running,
                 double average_reading, time_point now) {
    u.load = {now, waiting, reading, running, average_reading, 0, {}};
}

void record_load_asked(upstream& u, time_point now) {
    if (u.load.asked_at == time_point{}) {
        u.load.asked_at = now;
    }
}

void record_sent(upstream& u, double read_ms) {
    u.unread_ms += read_ms;
    u.load.sent_since_ms += read_ms;
    u.average_read_ms += read_time_smoothing * (read_ms - u.average_read_ms);
}

void record_cached(upstream& u, const work& w, std::uint64_t capacity) {
    prefix_cache& k = u.cached;
    for_each_key(w, [&](std::uint64_t key, const prompt_part& p) {
        const auto found = k.index.find(key);
        if (found != k.index.end()) {
            k.lru.splice(k.lru.begin(), k.lru, found->second);
            return true;
        }
        k.lru.push_front({key, p.tokens});
        k.index[key] = k.lru.begin();
        k.tokens += p.tokens;
        return true;
    });
    while (k.tokens > capacity && !k.lru.empty()) {
        k.tokens -= k.lru.back().tokens;
        k.index.erase(k.lru.back().key);
        k.lru.pop_back();
    }
}

void clear_cached(upstream& u) {
    u.cached = {};
}

}  // namespace burdockdeck::dispatch
