// Members of the core that are about to stop, as the leader knows them.
#pragma once

#include <map>

#include "base/time.h"
#include "consensus/node.h"

namespace burdockdeck::control {

// A departing member repeats that it leaves; one that has not for this long has stopped, or stays.
inline constexpr duration departure_ttl = std::chrono::milliseconds(1000);

struct departures {
    // When each member last said that it leaves.
    std::map<consensus::node_id, time_point> announced_at;
};

[[nodiscard]] bool is_departing(const departures& d, consensus::node_id id, time_point now);
// A voter that is about to stop; 0 if there is none.
[[nodiscard]] consensus::node_id departing_voter(const departures& d,
                                                 const schema::configuration& members,
                                                 time_point now);
void record_departure(departures& d, consensus::node_id id, time_point now);

}  // namespace burdockdeck::control
