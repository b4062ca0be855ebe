// Keeps the members that are about to stop.
#include "departures.h"

namespace burdockdeck::control {

bool is_departing(const departures& d, consensus::node_id id, time_point now) {
    const auto found = d.announced_at.find(id);
    return found != d.announced_at.end() && now - found->second <= departure_ttl;
}

consensus::node_id departing_voter(const departures& d, const schema::configuration& members,
                                   time_point now) {
    for (const schema::control_member& m : members.voters()) {
        if (is_departing(d, m.id(), now)) {
            return m.id();
        }
    }
    return 0;
}

void record_departure(departures& d, consensus::node_id id, time_point now) {
    std::erase_if(d.announced_at,
                  [&](const auto& known) { return now - known.second > departure_ttl; });
    d.announced_at[id] = now;
}

}  // namespace burdockdeck::control
