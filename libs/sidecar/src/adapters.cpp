// Places for adapters at one engine.
#include "adapters.h"

namespace burdockdeck::sidecar {

std::size_t places_taken(const engine_report& r) {
    std::size_t taken = r.incoming.size();
    for (const auto& [model, adapters] : r.models) {
        for (const std::string& a : adapters) {
            taken += r.incoming.contains({model, a}) ? 0 : 1;
        }
    }
    return taken;
}

std::optional<adapter_name> to_unload(const engine_report& r, const adapter_leases& leases,
                                      duration lease, time_point now) {
    std::optional<adapter_name> oldest;
    time_point oldest_asked = now - lease;
    for (const auto& [model, adapters] : r.models) {
        for (const std::string& a : adapters) {
            const auto found = leases.asked.find({model, a});
            const time_point asked = found == leases.asked.end() ? time_point{} : found->second;
            if (asked <= oldest_asked) {
                oldest = adapter_name{model, a};
                oldest_asked = asked;
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
