// What upstreams say about themselves in the headers of any answer, before control announces it.
// Used on the traffic loop.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "dispatch/upstream.h"
#include "gateway/protocol.h"
#include "services.pb.h"
#include "site_view.h"

namespace burdockdeck::gateway {

struct core;

// --- Queries

// Why a request that was chosen for this upstream is not to be sent to it now; empty if it may be.
[[nodiscard]] std::string notice_against(const core& c, const std::string& id);
// For an exchange with the upstream `from` that begins now: applies the notices of each answer to
// the view, unless another incarnation has taken its place.
[[nodiscard]] std::function<void(const answer_facts&)> notice_observer(core& c,
                                                                       dispatch::incarnation from);

// --- Commands

// `source` is where the notice was found, for the log.
void mark_leaving(dispatch::upstream& u, std::string_view source);
// Adds to `report` the upstreams that leave without a withdrawal announced by control.
void add_leaving(rpc::demand_report& report, const site_view& v);

}  // namespace burdockdeck::gateway
