// Records the first cause of an attempt's end, and logs it with the limits that were in force.
#include "answer_cut.h"

#include <map>

#include "core.h"
#include "quarantine.h"
#include "request_state.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

const char* yes_or_no(bool value) {
    return value ? "yes" : "no";
}

}  // namespace

std::string count_obstacles(core& c, const request_state& r, time_point now) {
    std::map<dispatch::obstacle, int> counts;
    const dispatch::request_view v = make_request_view(c, r);
    for (const dispatch::upstream* u : upstreams_of(c.view, r.service)) {
        ++counts[dispatch::obstacle_to(*u, v, now)];
    }
    std::string out;
    for (const auto& [obstacle, count] : counts) {
        out += out.empty() ? "" : ",";
        out +=
            std::string(name_in(dispatch::obstacle_names, obstacle)) + ":" + std::to_string(count);
    }
    return out;
}

std::string last_send_age(const request_state& r) {
    return r.tried.empty() ? "none"
                           : std::to_string(to_milliseconds(r.last_send_at - r.request.arrived));
}

std::string since_stop(const core& c, time_point now) {
    return c.draining ? std::to_string(to_milliseconds(now - c.draining_since)) : "none";
}

void record_ending(request_state& r, cut_cause cause, std::string detail, time_point now) {
    if (r.ending.cause != cut_cause::none) {
        return;
    }
    const duration silence =
        r.last_progress_at == time_point{} ? duration::zero() : now - r.last_progress_at;
    r.ending = {cause, std::move(detail), now, silence};
}

void log_answer_cut(core& c, const request_state& r, const attempt_ending& how,
                    const std::string& caller_failure, time_point now) {
    const time_point at = how.at == time_point{} ? now : how.at;
    const bool retry_allowed =
        dispatch::may_retry(c.budgets[r.service], c.settings.budget, c.view.gateways, now);
    log_event(how.cause == cut_cause::caller_left ? severity::info : severity::warning,
              event::answer_cut,
              {{"request", r.facts.id},
               {"route", r.route.name},
               {"service", r.service},
               {"upstream", r.tried.empty() ? "" : r.tried.back()},
               {"begun", yes_or_no(r.head_sent)},
               {"cause", name_in(cut_cause_names, how.cause)},
               {"detail", how.detail},
               {"caller_error", caller_failure},
               {"age_ms", to_milliseconds(at - r.request.arrived)},
               {"last_send_age_ms", last_send_age(r)},
               {"loop_lag_ms", to_milliseconds(c.loop_lag)},
               {"silence_ms", to_milliseconds(how.silence)},
               {"events", r.events_forwarded},
               {"left_ms", to_milliseconds(time_left(r, at))},
               {"timeout_ms", to_milliseconds(r.route.timeout)},
               {"deadline_ms",
                r.facts.deadline ? std::to_string(to_milliseconds(*r.facts.deadline)) : "none"},
               {"caller_silence_ms", to_milliseconds(r.route.caller_silence_timeout)},
               {"version", r.version},
               {"version_in_force", c.view.current.version},
               {"since_stop_ms", since_stop(c, at)},
               {"sends", static_cast<std::uint64_t>(r.tried.size())},
               {"attempt_limit", r.route.attempt_limit},
               {"repeatable", yes_or_no(r.repeatable)},
               {"retry_allowed", yes_or_no(retry_allowed)},
               {"upstreams", count_obstacles(c, r, now)},
               {"last_failure", r.last_failure}});
}

void log_failed_attempt(const request_state& r, const std::string& upstream,
                        std::string_view status) {
    const time_point now = runtime::boot_now();
    log_event(severity::info, event::attempt_failed,
              {{"request", r.facts.id},
               {"upstream", upstream},
               {"sends", static_cast<std::uint64_t>(r.tried.size())},
               {"status", status},
               {"reason", r.last_failure},
               {"cause", name_in(cut_cause_names, r.ending.cause)},
               {"begun", r.head_sent ? "yes" : "no"},
               {"event_arrived", r.attempt_began_at != time_point{} ? "yes" : "no"},
               {"written_ms", to_milliseconds(written_time(r))},
               {"age_ms", to_milliseconds(now - r.request.arrived)},
               {"sent_ms_ago", to_milliseconds(now - r.sent_at)},
               {"silence_ms", to_milliseconds(r.ending.silence)},
               {"born_ms", r.sent_to_born_ms},
               {"shared_parts", to_text(quarantine::shared_parts(r.facts.needs))},
               {"left_ms", to_milliseconds(time_left(r, now))}});
}

void log_open_requests(core& c, time_point now) {
    for (const std::weak_ptr<request_state>& weak_request : c.open_requests) {
        if (const std::shared_ptr<request_state> r = weak_request.lock()) {
            record_ending(*r, cut_cause::grace_ended, "", now);
            log_answer_cut(c, *r, r->ending, "", now);
        }
    }
}

}  // namespace burdockdeck::gateway
