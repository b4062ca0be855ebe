// Applies notices to the view, and lists those that control is to learn.
#include "upstream_notices.h"

#include "core.h"
#include "dispatch/choice.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "send_permits.h"

namespace burdockdeck::gateway {

using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

void pause_upstream(dispatch::upstream& u, duration pause, time_point now) {
    const bool was_paused = u.paused_until > now;
    dispatch::record_pause(u, pause, now);
    if (!was_paused) {
        log_event(severity::info, event::upstream_notice,
                  {{"upstream", u.id},
                   {"notice", name_in(dispatch::obstacle_names, dispatch::obstacle::paused)},
                   {"pause_ms", to_milliseconds(pause)},
                   {"in_flight", u.in_flight}});
    }
}

void apply_notices(core& c, const dispatch::incarnation& from, const answer_facts& facts,
                   time_point sent_at) {
    if (!facts.invalid_header.empty()) {
        log_event(severity::info, event::answer_header_invalid,
                  {{"upstream", from.id}, {"header", facts.invalid_header}});
    }
    const auto found = c.view.upstreams.find(from.id);
    if (found == c.view.upstreams.end() || !dispatch::is_incarnation(found->second, from)) {
        return;
    }
    if (facts.leaving) {
        mark_leaving(found->second, "answer");
    }
    if (facts.pause) {
        pause_upstream(found->second, *facts.pause, runtime::boot_now());
    }
    record_limit(found->second, facts, sent_at, runtime::boot_now());
}

}  // namespace

std::string notice_against(const core& c, const std::string& id) {
    const auto found = c.view.upstreams.find(id);
    if (found == c.view.upstreams.end()) {
        return "";
    }
    const dispatch::obstacle o = dispatch::notice_of(found->second, runtime::boot_now());
    return o == dispatch::obstacle::none
               ? ""
               : "notice of the upstream: " + std::string(name_in(dispatch::obstacle_names, o));
}

void mark_leaving(dispatch::upstream& u, std::string_view source) {
    if (u.leaving) {
        return;
    }
    u.leaving = true;
    log_event(severity::info, event::upstream_notice,
              {{"upstream", u.id},
               {"notice", name_in(dispatch::obstacle_names, dispatch::obstacle::leaving)},
               {"born_ms", u.born_ms},
               {"source", source},
               {"in_flight", u.in_flight}});
}

void add_leaving(rpc::demand_report& report, const site_view& v) {
    for (const auto& [id, u] : v.upstreams) {
        if (u.leaving && u.accepting) {
            rpc::leaving_upstream& l = *report.add_leaving();
            l.set_id(id);
            l.set_born_ms(u.born_ms);
        }
    }
}

std::function<void(const answer_facts&)> notice_observer(core& c, dispatch::incarnation from) {
    return [&c, from = std::move(from), sent_at = runtime::boot_now()](const answer_facts& facts) {
        apply_notices(c, from, facts, sent_at);
    };
}

}  // namespace burdockdeck::gateway
