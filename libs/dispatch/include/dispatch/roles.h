// Divides the engines of a service between short and long prompts. An engine reads a long prompt in
// chunks between the decoding steps of its other requests, which lengthens the token gaps of short
// streams on the same engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace burdockdeck::dispatch {

struct role_settings {
    // Prompts of at least this many tokens are long.
    std::uint32_t long_prompt_tokens = 2000;
    // Share of a service's engines that is reserved for short prompts.
    double short_share = 0;
    // A service with fewer engines than this is not divided.
    std::size_t min_engines = 4;
};

struct engine_location {
    std::string address;
    std::string failure_domain;

    bool operator==(const engine_location&) const = default;
};

// Addresses of the engines for short prompts; empty if the service is not divided. Deterministic:
// processes with the same set of engines compute the same result without coordination. Entries with
// one address count as one engine. The result
// is spread over failure domains and changes little when an engine is added or removed.
[[nodiscard]] std::set<std::string> short_prompt_engines(const std::vector<engine_location>& all,
                                                         const role_settings& s);

}  // namespace burdockdeck::dispatch
