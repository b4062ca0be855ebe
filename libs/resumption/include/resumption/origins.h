// Which upstreams began which streams, so that a stream is resumed only where its text fits, and
// which processes keep that. A process keeps origins in memory for as long as their streams may be
// resumed.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace burdockdeck::resumption {

struct origin {
    std::string service;
    // Of the software of the upstream that sent the first event.
    std::string software_version;

    bool operator==(const origin&) const = default;
};

struct kept_origin {
    origin began;
    time_point expires_at{};
    // True if the id was recorded with another origin too, so that nothing is known of it.
    bool ambiguous = false;
};

// Invariant: `order` holds each id of `by_request` once, in the order in which they were recorded.
struct origin_table {
    std::unordered_map<std::string, kept_origin> by_request;
    std::deque<std::string> order;
};

struct told_stream {
    // Those that were told and have not begun to leave since.
    std::set<std::string, std::less<>> hosts;
    time_point expires_at{};
};

// The hosts that were told of each stream that may be resumed.
// Invariants: `by_host` holds the same pairs as `by_request`, without empty sets; `order` holds
// each request of `by_request` once, in the order in which they were recorded.
struct told_streams {
    std::unordered_map<std::string, told_stream> by_request;
    std::map<std::string, std::set<std::string>, std::less<>> by_host;
    std::deque<std::string> order;
};

// The oldest origins are dropped first.
inline constexpr std::size_t max_kept_origins = 64 * 1024;
// The oldest ones are dropped first; they do not move when their hosts leave.
inline constexpr std::size_t max_told_streams = 16 * 1024;
// Longer ids are not kept.
inline constexpr std::size_t max_request_id_bytes = 128;
// Streams that may be resumed for longer are kept for this long.
inline constexpr duration max_origin_ttl = std::chrono::minutes(10);

// --- Queries

// The origin of the stream that the request began; empty if none is kept.
[[nodiscard]] std::optional<origin> find_origin(const origin_table& t, const std::string& request,
                                                time_point now);
// The hosts that keep the origin of the stream that the request began, the first ones first.
// Deterministic, and changed little by a host that comes or goes.
[[nodiscard]] std::vector<std::string> holders_of(std::string_view request,
                                                  const std::set<std::string, std::less<>>& hosts,
                                                  std::size_t count);

// --- Commands

// Keeps the origin of a stream that may be resumed for `ttl`.
void record_origin(origin_table& t, const std::string& request, const origin& began, duration ttl,
                   time_point now);
// Drops expired origins, oldest first, up to the first that has not expired.
void expire(origin_table& t, time_point now);
// Records that the hosts were told of a stream that may be resumed for `ttl`.
void record_told(told_streams& t, const std::string& request, const std::vector<std::string>& hosts,
                 duration ttl, time_point now);
// Drops expired streams, oldest first, up to the first that has not expired.
void expire(told_streams& t, time_point now);
// Removes the host from up to `count` of its streams and returns their requests.
[[nodiscard]] std::vector<std::string> take_told(told_streams& t, const std::string& host,
                                                 std::size_t count);

}  // namespace burdockdeck::resumption
