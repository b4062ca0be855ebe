// Which control instance a newer deployment is fetched from, and what its reply makes of the text
// known here. Decisions only.
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

// The newest text known here. Version 0 goes with the empty text.
struct deployment_text {
    std::uint64_t version = 0;
    std::string text;
};

// A control instance and the version that it told last.
struct reported_version {
    std::string address;
    std::uint64_t version = 0;
};

// Patches are small: an answer that takes longer is not coming, or the text is whole and long.
inline constexpr duration initial_fetch_timeout = std::chrono::milliseconds(800);
inline constexpr duration max_fetch_timeout = std::chrono::milliseconds(6400);
// An instance that failed is left alone this long, also if it is the only one.
inline constexpr duration fetch_retry_delay = std::chrono::milliseconds(100);

enum class fetch_outcome {
    applied,
    // The instance is up to date and has nothing newer.
    confirmed,
    // The instance had nothing newer, but may lag behind.
    nothing_new,
    // No answer came.
    no_reply,
    // The patch did not lead from the text known here.
    bad_patch
};

// One fetch at a time, so that a gateway's link carries each text once.
struct fetch_state {
    bool under_way = false;
    // How long the next answer is waited for; doubled when an instance fails again.
    duration timeout = initial_fetch_timeout;
    // When a fetch from that address last came to nothing.
    std::map<std::string, time_point> failed_at;
    // The next request is for the whole text.
    bool full_text_next = false;
};

struct fetch_error {
    std::string message;
};

// The instance to fetch a version of at least `wanted` from, and marks the fetch as under way. Of
// those that failed longest ago it is one that told of the highest version; picked at random, so
// that gateways do not all ask the same one. Empty if a fetch is under way, or nobody that may be
// asked now told of such a version.
[[nodiscard]] std::optional<std::string> begin_fetch(fetch_state& s,
                                                     const std::vector<reported_version>& reported,
                                                     std::uint64_t wanted, time_point now,
                                                     std::mt19937_64& rng);
void end_fetch(fetch_state& s, const std::string& address, fetch_outcome outcome, time_point now);
// Applies a reply. True if `t` became newer. After a failure `t` is unchanged.
[[nodiscard]] result<bool, fetch_error> apply_reply(deployment_text& t,
                                                    const rpc::fetch_deployment_reply& reply);

}  // namespace burdockdeck::gateway
