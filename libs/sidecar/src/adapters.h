// Selects the adapter to evict for another: the least recently requested one whose lease has ended.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "sidecar/engine_protocol.h"

namespace burdockdeck::sidecar {

// Model and adapter.
using adapter_name = std::pair<std::string, std::string>;

// Time of the last request for each adapter.
struct adapter_leases {
    std::map<adapter_name, time_point> last_requested;
};

// --- Queries

// Number of adapter slots in use at the engine, by loaded adapters and by those being loaded.
[[nodiscard]] std::size_t adapter_slots_used(const engine_report& r);
// The adapter to unload for another; empty if all were requested within `lease`. Adapters that were
// never requested from this process come first.
[[nodiscard]] std::optional<adapter_name> eviction_candidate(const engine_report& r,
                                                             const adapter_leases& leases,
                                                             duration lease, time_point now);
[[nodiscard]] bool is_present(const engine_report& r, const adapter_name& a);
[[nodiscard]] bool is_incoming(const engine_report& r, const adapter_name& a);

}  // namespace burdockdeck::sidecar
