// Beliefs about kept prompt parts.
#include "dispatch/upstream.h"

#include <algorithm>

#include "base/checksum.h"

namespace burdockdeck::dispatch {

namespace {

// What an engine said of itself counts for this long.
constexpr duration load_valid = std::chrono::milliseconds(400);
// A prompt that is being read is half read on average.
constexpr double half_read = 0.6;
constexpr double usual_smoothing = 0.05;
// Idle engines are heard every 300 ms; two misses in a row are no accident.
constexpr duration load_stale = std::chrono::milliseconds(900);
// About two seconds of beacons.
constexpr double reading_smoothing = 0.03;

std::uint64_t seed_of(const work& w) {
    return checksum_of(w.model + "/" + w.adapter);
}

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
    std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
    x ^= x >> 31;
    x *= 0xbf58476d1ce4e5b9ULL;
    return x ^ (x >> 29);
}

// Keys of the parts in order. A part counts only together with all before it.
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

std::uint32_t tokens_to_read(const upstream& u, const work& w) {
    std::uint32_t cached = 0;
    for_each_key(w, [&](std::uint64_t key, const prompt_part& p) {
        if (!u.cached.where.contains(key)) {
            return false;
        }
        cached += p.tokens;
        return true;
    });
    return w.prompt_tokens > cached ? w.prompt_tokens - cached : 1;
}

std::uint64_t affinity_key(const work& w) {
    if (!w.adapter.empty()) {
        // Places for adapters are few: all work of one adapter goes where the adapter is.
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
    if (age > load_valid) {
        return u.unread_ms;
    }
    const double said =
        (u.load.waiting + half_read * u.load.reading) * u.usual_read_ms + u.load.sent_since_ms;
    return std::max(0.0, said - 1000 * to_seconds(age));
}

std::uint32_t running_at(const upstream& u, time_point now) {
    return now - u.load.at > load_valid ? u.in_flight : u.load.running;
}

bool load_is_stale(const upstream& u, time_point now) {
    return u.load.at != time_point{} && now - u.load.at > load_stale;
}

void record_load(upstream& u, std::uint32_t waiting, std::uint32_t reading, std::uint32_t running,
                 time_point now) {
    const double usual =
        u.load.usual_reading + reading_smoothing * (reading - u.load.usual_reading);
    u.load = {now, waiting, reading, running, usual, 0};
}

void record_sent(upstream& u, double read_ms) {
    u.unread_ms += read_ms;
    u.load.sent_since_ms += read_ms;
    u.usual_read_ms += usual_smoothing * (read_ms - u.usual_read_ms);
}

void record_cached(upstream& u, const work& w, std::uint64_t capacity) {
    prefix_cache& k = u.cached;
    for_each_key(w, [&](std::uint64_t key, const prompt_part& p) {
        const auto found = k.where.find(key);
        if (found != k.where.end()) {
            k.order.splice(k.order.begin(), k.order, found->second);
            return true;
        }
        k.order.push_front({key, p.tokens});
        k.where[key] = k.order.begin();
        k.tokens += p.tokens;
        return true;
    });
    while (k.tokens > capacity && !k.order.empty()) {
        k.tokens -= k.order.back().tokens;
        k.where.erase(k.order.back().key);
        k.order.pop_back();
    }
}

void clear_cached(upstream& u) {
    u.cached = {};
}

}  // namespace burdockdeck::dispatch
