// Spaces permits evenly, with bursts of half a second.
#include "ratelimit/permits.h"

#include <algorithm>

#include "base/checksum.h"

namespace burdockdeck::ratelimit {

namespace {

// Unused permits are kept for this long.
constexpr duration burst_time = std::chrono::milliseconds(500);
// A denied request asks again after this time at the earliest.
constexpr duration min_retry = std::chrono::milliseconds(100);
// Requests that all gateways without a ledger may send at once, beyond one second's worth.
constexpr double spare_requests = 2;
// Ended limits are kept for this long, so that all gateways hear of the end.
constexpr duration ended_retention = std::chrono::seconds(5);

duration interval_of(double per_second) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / per_second));
}

}  // namespace

double share_without_ledger(std::string_view gateway, const target& t, double per_second,
                            std::uint32_t gateways) {
    const double all = std::max(1U, gateways);
    const double senders = std::min(all, per_second + spare_requests);
    const std::uint64_t draw = checksum_of(std::string(gateway) + "/" + t.upstream);
    constexpr std::uint64_t steps = 1'000'000;
    const bool sends = static_cast<double>(draw % steps) < steps * senders / all;
    return sends ? per_second / senders : 0;
}

bool merge(stated_limit& known, const stated_limit& other) {
    if (other.stated_at <= known.stated_at) {
        return false;
    }
    const bool changed = known.per_second != other.per_second;
    known = other;
    return changed;
}

permit take(bucket& b, double per_second, duration max_wait, time_point now) {
    const time_point due = std::max(b.next_due, now - burst_time);
    const duration wait = std::max(duration::zero(), due - now);
    const duration advance = std::min(max_wait, max_advance);
    if (wait > advance) {
        return {false, std::max(min_retry, wait - advance)};
    }
    b.next_due = due + interval_of(per_second);
    return {true, wait};
}

bool record_limit(ledger& l, const target& t, const stated_limit& s) {
    return merge(l.limits[t], s);
}

permit request_permit(ledger& l, const target& t, duration max_wait, time_point now) {
    const auto found = l.limits.find(t);
    if (found == l.limits.end() || found->second.per_second <= 0) {
        return {true, duration::zero()};
    }
    return take(l.buckets[t], found->second.per_second, max_wait, now);
}

void expire(ledger& l, duration retention, time_point now) {
    std::erase_if(l.limits, [&](const auto& item) {
        const stated_limit& s = item.second;
        return now - s.stated_at > (s.per_second > 0 ? retention : ended_retention);
    });
    std::erase_if(l.buckets, [&](const auto& item) { return !l.limits.contains(item.first); });
}

}  // namespace burdockdeck::ratelimit
