// Rate limits that upstreams state in their answers, and permits for requests to them. Used on the
// traffic loop.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "dispatch/upstream.h"
#include "gateway/protocol.h"
#include "services.pb.h"
#include "site_view.h"

namespace burdockdeck::gateway {

struct core;
struct request_state;

// --- Queries

// Adds to `report` what answers to this gateway said of limits since the last few reports.
void add_limits(rpc::demand_report& report, const site_view& v, time_point now);

// --- Commands

// Records what an answer of `u` says of its limit. An answer to a request that was sent at
// `sent_at`, after the limit was last stated, and that states none ends the limit.
void record_limit(dispatch::upstream& u, const answer_facts& facts, time_point sent_at,
                  time_point now);
// Applies the limits that the leading control instance knows.
void apply_limits(core& c, const rpc::site_update& update, time_point now);
// Waits for a permit to send one request to `to`, at once true if it states no limit. False if
// there is none within `max_wait`; the upstream is then not eligible until asking again makes
// sense.
boost::asio::awaitable<bool> acquire_permit(core& c, dispatch::incarnation to, duration max_wait);

}  // namespace burdockdeck::gateway
