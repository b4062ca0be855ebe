// Which adapter makes room for another: the least recently asked for whose lease has ended.
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

// When each adapter was last asked for.
struct adapter_leases {
    std::map<adapter_name, time_point> asked;
};

// --- Queries

// Adapters that take up a place at the engine, on their way or there.
[[nodiscard]] std::size_t places_taken(const engine_report& r);
// The adapter to unload for another; empty if all were asked for within `lease`.
[[nodiscard]] std::optional<adapter_name> to_unload(const engine_report& r,
                                                    const adapter_leases& leases, duration lease,
                                                    time_point now);
[[nodiscard]] bool is_present(const engine_report& r, const adapter_name& a);
[[nodiscard]] bool is_incoming(const engine_report& r, const adapter_name& a);

}  // namespace burdockdeck::sidecar
