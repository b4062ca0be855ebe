// The planner's view of the site: the engines of a service and the demand for its models, from
// announcements and the gateways' reports.
#pragma once

#include "deployment/deployment.h"
#include "placement/moves.h"
#include "site.h"

namespace burdockdeck::control {

// The engines of one service. If `divided`, engines for short and for long prompts are planned as
// two separate fleets.
struct service_fleets {
    placement::fleet_state all;
    placement::fleet_state short_prompt_fleet;
    placement::fleet_state long_prompt_fleet;
    bool divided = false;
};

// The fleets of `service`. An engine that has not announced itself for `max_silence` counts as not
// accepting requests.
[[nodiscard]] service_fleets fleets_of(const site_state& site,
                                       const deployment::service_spec& service,
                                       duration max_silence, time_point now);

// Updates the smoothed demand from the gateways' latest reports.
void update_demand(site_state& site, time_point now);

}  // namespace burdockdeck::control
