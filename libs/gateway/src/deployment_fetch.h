// Chooses the control instance to fetch a newer deployment from, and applies its reply to the
// latest text received. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "services.pb.h"

namespace burdockdeck::gateway {

// The latest deployment text received. Until the first one, the version is 0 and the text empty.
struct deployment_text {
    std::uint64_t version = 0;
    std::string text;
};

// A control instance and the version that it reported last.
struct reported_version {
    std::string address;
    std::uint64_t version = 0;
};

// Long enough for a patch, which is small. If no reply arrives within this time, the instance has
// failed or is sending a long full text.
inline constexpr duration initial_fetch_timeout = std::chrono::milliseconds(800);
inline constexpr duration max_fetch_timeout = std::chrono::milliseconds(6400);
// No fetch is sent to an instance for this long after one failed there, even if it is the only
// instance.
inline constexpr duration fetch_retry_delay = std::chrono::milliseconds(100);

enum class fetch_outcome {
    applied,
    // The instance is up to date and has nothing newer.
    confirmed,
    // The instance had nothing newer, but may lag behind.
    nothing_new,
    // No reply arrived in time, or the call failed.
    no_reply,
    // The patch does not apply to the latest text received.
    bad_patch
};

// State of the fetches from control. Only one fetch runs at a time, so that each text is
// transferred to a gateway only once.
struct fetch_state {
    bool under_way = false;
    // Time-out of the next fetch; doubled when an instance fails repeatedly.
    duration timeout = initial_fetch_timeout;
    // By address of an instance: time of the last fetch that failed or gave nothing new.
    std::map<std::string, time_point> failed_at;
    // True if the next fetch requests the full text and not a patch.
    bool full_text_next = false;
};

struct fetch_error {
    std::string message;
};

// Chooses the instance to fetch a version of at least `wanted` from, and marks a fetch as under
// way. Prefers instances without a failure or whose failure is longest ago, among them the highest
// reported version; among equal ones, picks one at random, so that gateways spread over the
// instances. Empty if a fetch is under way or no eligible instance reported such a version.
[[nodiscard]] std::optional<std::string> begin_fetch(fetch_state& s,
                                                     const std::vector<reported_version>& reported,
                                                     std::uint64_t wanted, time_point now,
                                                     std::mt19937_64& rng);
void end_fetch(fetch_state& s, const std::string& address, fetch_outcome outcome, time_point now);
// Applies a reply to `t`. True if `t` became newer; after an error `t` is unchanged.
[[nodiscard]] result<bool, fetch_error> apply_reply(deployment_text& t,
                                                    const rpc::fetch_deployment_reply& reply);

}  // namespace burdockdeck::gateway
