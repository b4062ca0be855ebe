// Keeps the fleet's ledger of permits while this instance leads.
#include "send_permits.h"

#include "ratelimit/news.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace burdockdeck::control {

namespace {

using runtime::event;
using runtime::log_event;
using runtime::severity;

// Limits that no gateway has reported for this long are dropped.
constexpr duration limit_retention = std::chrono::seconds(60);

void record(instance& i, const schema::rate_limit& m, const std::string& source) {
    const ratelimit::target t = ratelimit::target_of(m);
    const ratelimit::stated_limit s = ratelimit::statement_of(m, runtime::boot_now());
    if (ratelimit::record_limit(i.site->permits, t, s)) {
        log_event(severity::info, event::upstream_notice,
                  {{"upstream", t.upstream},
                   {"notice", "rate_limited"},
                   {"born_ms", t.born_ms},
                   {"per_second", s.per_second},
                   {"age_ms", m.age_ms()},
                   {"source", source}});
    }
}

// A deposed leader is no longer up to date after about two election timeouts.
bool may_grant(const instance& i) {
    return i.raft->is_leader() && i.raft->is_up_to_date();
}

}  // namespace

void add_limits(const instance& i, rpc::site_update& update) {
    if (!may_grant(i)) {
        return;
    }
    for (const auto& [t, s] : i.site->permits.limits) {
        *update.add_limits() = ratelimit::to_message(t, s, runtime::boot_now());
    }
}

void record_limits(instance& i, const rpc::demand_report& report) {
    for (const schema::rate_limit& m : report.limits()) {
        record(i, m, report.gateway());
    }
}

rpc::permit_send_reply answer_permit(instance& i, const rpc::permit_send_request& request) {
    rpc::permit_send_reply reply;
    if (!may_grant(i)) {
        return reply;
    }
    record(i, request.limit(), "permit");
    const ratelimit::permit p = ratelimit::request_permit(
        i.site->permits, ratelimit::target_of(request.limit()),
        std::chrono::milliseconds(request.max_wait_ms()), runtime::boot_now());
    i.metrics.count(p.granted ? "burdockdeck_permits_granted_total"
                              : "burdockdeck_permits_denied_total");
    reply.set_leading(true);
    reply.set_granted(p.granted);
    reply.set_wait_ms(static_cast<std::uint32_t>(to_milliseconds(p.wait)));
    return reply;
}

void expire_limits(instance& i, time_point now) {
    ratelimit::expire(i.site->permits, limit_retention, now);
}

}  // namespace burdockdeck::control
