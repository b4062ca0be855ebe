// Adapter slots of one engine, and the choice of the adapter to evict.
#include "adapters.h"

namespace burdockdeck::sidecar {

std::size_t adapter_slots_used(const engine_report& r) {
    std::size_t taken = r.incoming.size();
    for (const auto& [model, adapters] : r.models) {
        for (const std::string& a : adapters) {
            taken += r.incoming.contains({model, a}) ? 0 : 1;
        }
    }
    return taken;
}

std::optional<adapter_name> eviction_candidate(const engine_report& r, const adapter_leases& leases,
                                               duration lease, time_point now) {
    std::optional<adapter_name> oldest;
    time_point oldest_request = now - lease;
    for (const auto& [model, adapters] : r.models) {
        for (const std::string& a : adapters) {
            const auto found = leases.last_requested.find({model, a});
            const time_point last_requested =
                found == leases.last_requested.end() ? time_point{} : found->second;
            if (last_requested <= oldest_request) {
                oldest = adapter_name{model, a};
                oldest_request = last_requested;
            }
        }
    }
    return oldest;
}

bool is_present(const engine_report& r, const adapter_name& a) {
    const auto model = r.models.find(a.first);
    return model != r.models.end() && model->second.contains(a.second) && !is_incoming(r, a);
}

bool is_incoming(const engine_report& r, const adapter_name& a) {
    return r.incoming.contains(a);
}

}  // namespace burdockdeck::sidecar
