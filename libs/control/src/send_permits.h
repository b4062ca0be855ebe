// Permits for requests to upstreams that state a rate limit; granted by the leader. Accessed on the
// control loop only.
#pragma once

#include "site.h"

namespace burdockdeck::control {

// --- Queries

// Adds the limits known here, if this instance is the leader.
void add_limits(const instance& i, rpc::site_update& update);

// --- Commands

void record_limits(instance& i, const rpc::demand_report& report);
[[nodiscard]] rpc::permit_send_reply answer_permit(instance& i,
                                                   const rpc::permit_send_request& request);
void expire_limits(instance& i, time_point now);

}  // namespace burdockdeck::control
