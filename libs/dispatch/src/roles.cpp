// Ranks engines by a hash of the address and picks from the failure domains in turn.
#include "dispatch/roles.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

#include "base/checksum.h"

namespace burdockdeck::dispatch {

namespace {

// The failure domain of each address; the first by name if several are given for one address.
std::map<std::string, std::string> domains_by_address(const std::vector<engine_location>& all) {
    std::map<std::string, std::string> out;
    for (const engine_location& e : all) {
        const auto [known, added] = out.emplace(e.address, e.failure_domain);
        known->second = std::min(known->second, e.failure_domain);
    }
    return out;
}

}  // namespace

std::set<std::string> short_prompt_engines(const std::vector<engine_location>& all,
                                           const role_settings& s) {
    std::set<std::string> chosen;
    const std::map<std::string, std::string> domains = domains_by_address(all);
    if (domains.size() < s.min_engines || s.short_share <= 0) {
        return chosen;
    }
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> ranked;
    for (const auto& [address, domain] : domains) {
        ranked[domain].emplace_back(checksum_of(address), address);
    }
    for (auto& [domain, engines] : ranked) {
        std::sort(engines.begin(), engines.end());
    }
    const double share = std::min(s.short_share, 1.0);
    // At most the number of addresses, each of which is ranked once.
    const auto target_count = static_cast<std::size_t>(
        std::max(1.0, std::round(share * static_cast<double>(domains.size()))));
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
