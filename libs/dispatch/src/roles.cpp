// Ranks engines by a hash of the address and picks from the failure domains in turn.
#include "dispatch/roles.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

#include "base/checksum.h"

namespace burdockdeck::dispatch {

std::set<std::string> short_prompt_engines(const std::vector<engine_location>& all,
                                           const role_settings& s) {
    std::set<std::string> chosen;
    if (all.size() < s.min_engines || s.short_share <= 0) {
        return chosen;
    }
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> ranked;
    for (const engine_location& e : all) {
        ranked[e.failure_domain].emplace_back(checksum_of(e.address), e.address);
    }
    for (auto& [domain, engines] : ranked) {
        std::sort(engines.begin(), engines.end());
    }
    const auto target_count = static_cast<std::size_t>(
        std::max(1.0, std::round(s.short_share * static_cast<double>(all.size()))));
    for (std::size_t rank = 0; chosen.size() < target_count; ++rank) {
        for (const auto& [domain, engines] : ranked) {
            if (rank < engines.size() && chosen.size() < target_count) {
                chosen.insert(engines[rank].second);
            }
        }
    }
    return chosen;
}

}  // namespace burdockdeck::dispatch
