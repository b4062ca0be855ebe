// Engines apart for long and for short prompts: a long prompt is read in pieces between the tokens
// of everything else on its engine, and stretches the pauses of short streams there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace burdockdeck::dispatch {

struct role_settings {
    // Prompts from this many tokens on are long.
    std::uint32_t long_prompt_tokens = 2000;
    // Share of a service's engines that is kept for short prompts.
    double short_share = 0;
    // Fewer engines than this are not divided.
    std::size_t fewest_engines = 4;
};

struct engine_location {
    std::string address;
    std::string failure_domain;
};

// Addresses of the engines for short prompts; empty if the service is not divided. Everyone who
// knows the same engines gets the same answer, so nobody has to tell it; it is spread over failure
// domains, and changes little when an engine comes or goes.
[[nodiscard]] std::set<std::string> short_prompt_engines(const std::vector<engine_location>& all,
                                                         const role_settings& s);

}  // namespace burdockdeck::dispatch
