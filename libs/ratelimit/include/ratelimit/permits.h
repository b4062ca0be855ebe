// Rate limits that upstreams state for all gateways together, and the permits that keep the sum of
// the gateways' sends within them. One ledger at a time grants permits for the whole fleet; a
// gateway that reaches none falls back to a share of its own.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

#include "base/time.h"

namespace burdockdeck::ratelimit {

// Longest time that a permit is granted in advance.
inline constexpr duration max_advance = std::chrono::seconds(1);

// One start of an upstream.
struct target {
    std::string upstream;
    std::uint64_t born_ms = 0;

    bool operator==(const target&) const = default;
    bool operator<(const target& other) const {
        return std::tie(upstream, born_ms) < std::tie(other.upstream, other.born_ms);
    }
};

struct stated_limit {
    // Requests a second from all gateways together; 0 if there is no limit.
    double per_second = 0;
    // When an answer of the upstream last said so.
    time_point stated_at{};
};

// Generic cell rate algorithm: requests that are due one after the other, evenly spaced.
struct bucket {
    // When the next request is due.
    time_point next_due{};
};

// Whether a request may be sent `wait` from now; otherwise, when asking again makes sense.
struct permit {
    bool granted = false;
    duration wait{};
};

// Limits of the fleet's upstreams, and the permits granted.
struct ledger {
    std::map<target, stated_limit> limits;
    std::map<target, bucket> buckets;
};

// --- Queries

// The rate at which one of `gateways` gateways may send without a ledger. It is 0 for some of them
// if there are so many that one request of each could exceed the limit. Each gateway decides by
// itself, so that the sum is kept on average.
[[nodiscard]] double share_without_ledger(std::string_view gateway, const target& t,
                                          double per_second, std::uint32_t gateways);

// --- Commands

// Replaces `known` by a statement that is newer. True if the limit changed.
bool merge(stated_limit& known, const stated_limit& other);

// Takes a permit if one is due within `max_wait`. In any time T, at most
// (T + 0.5 s) x per_second + 1 permits fall due.
permit take(bucket& b, double per_second, duration max_wait, time_point now);

// Records a statement; true if the limit changed.
bool record_limit(ledger& l, const target& t, const stated_limit& s);
// A permit for `t`; always granted if no limit is known.
permit request_permit(ledger& l, const target& t, duration max_wait, time_point now);
// Drops limits that ended or were last stated longer than `retention` ago.
void expire(ledger& l, duration retention, time_point now);

}  // namespace burdockdeck::ratelimit
