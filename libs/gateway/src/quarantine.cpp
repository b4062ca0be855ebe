// Records crashes and answers of this gateway's attempts, and shares them.
#include "quarantine.h"

#include <array>
#include <cstdio>

#include "answer_cut.h"
#include "quarantine/news.h"
#include "runtime/clock.h"
#include "runtime/http.h"
#include "runtime/log.h"

namespace burdockdeck::gateway {

using runtime::event;
using runtime::log_event;
using runtime::severity;

namespace {

// A crash ends several requests at about the same time; they are shared in one message.
constexpr duration share_delay = std::chrono::milliseconds(5);
// News of one crash comes from several gateways; the answers that it calls for are shared once.
constexpr duration answers_delay = std::chrono::milliseconds(60);
// Load reports that were sent before a crash arrive within this time after it.
constexpr duration report_transit_time = std::chrono::milliseconds(200);
// A later report may come from the next start of the engine, before that is announced.
constexpr duration own_crash_lifetime = std::chrono::seconds(2);

quarantine::incarnation engine_of(const request_state& r, const std::string& upstream) {
    return {upstream, r.sent_to_born_ms};
}

void abort_quarantined_attempts(core& c, time_point now) {
    for (const std::weak_ptr<request_state>& weak_request : c.open_requests) {
        const std::shared_ptr<request_state> r = weak_request.lock();
        if (r && r->current && judge_request(c, *r, now).quarantined) {
            record_ending(*r, cut_cause::quarantined, "", now);
            close_successor(*r);
            r->current->abort();
        }
    }
}

void crashes_changed(core& c, time_point now) {
    c.quarantine.changed_at = now;
    c.quarantine.shared_answers.clear();
    c.metrics.set("burdockdeck_quarantine_crashes",
                  static_cast<double>(c.quarantine.known.crashes.size()));
    abort_quarantined_attempts(c, now);
}

void share_after(core& c, duration delay) {
    if (c.quarantine.share_scheduled) {
        return;
    }
    c.quarantine.share_scheduled = true;
    runtime::spawn(c.traffic, [&c, delay]() -> boost::asio::awaitable<void> {
        co_await runtime::sleep_for(delay);
        share_crashes(c, runtime::boot_now());
    });
}

}  // namespace

std::string to_text(const quarantine::part_list& parts) {
    std::string out;
    for (const quarantine::part_id part : parts) {
        std::array<char, 20> id{};
        std::snprintf(id.data(), id.size(), out.empty() ? "%llx" : ",%llx",
                      static_cast<unsigned long long>(part));
        out += id.data();
    }
    return out;
}

quarantine::verdict judge_request(const core& c, const request_state& r, time_point now) {
    if (r.last_event_at != time_point{}) {
        return {};
    }
    return quarantine::judge(c.quarantine.known, quarantine::shared_parts(r.facts.needs), now);
}

void record_broken_attempt(core& c, request_state& r, const std::string& upstream,
                           end_cause ended_by) {
    if (!r.event_in_attempt) {
        record_unanswered(c, r, engine_of(r, upstream), ended_by);
    }
}

void record_unanswered(core& c, request_state& r, const quarantine::incarnation& engine,
                       end_cause ended_by) {
    const quarantine::part_list parts = quarantine::shared_parts(r.facts.needs);
    if (ended_by != end_cause::upstream_closed || parts.empty()) {
        return;
    }
    const auto upstream = c.view.upstreams.find(engine.upstream);
    if (upstream != c.view.upstreams.end() && upstream->second.born_ms == engine.born_ms &&
        (!upstream->second.accepting || upstream->second.leaves_at != time_point::max())) {
        // It announced that it ends.
        return;
    }
    const time_point now = runtime::boot_now();
    quarantine::record_crash(c.quarantine.known, engine, parts, now);
    r.may_have_crashed_engine = quarantine::may_be_cause(c.quarantine.known, engine, parts, now);
    log_event(severity::warning, event::engine_crash_suspected,
              {{"request", r.facts.id},
               {"upstream", engine.upstream},
               {"born_ms", engine.born_ms},
               {"may_be_cause", r.may_have_crashed_engine ? "yes" : "no"},
               {"crashes_known", static_cast<std::uint64_t>(c.quarantine.known.crashes.size())}});
    c.quarantine.own_crashes.try_emplace(engine, now);
    crashes_changed(c, now);
    share_after(c, share_delay);
}

void record_first_event(core& c, const request_state& r, const std::string& upstream,
                        time_point now) {
    const quarantine::part_list parts = quarantine::shared_parts(r.facts.needs);
    if (parts.empty()) {
        return;
    }
    quarantine::record_answer(c.quarantine.known, engine_of(r, upstream), parts, r.sent_at, now);
    if (c.quarantine.own_answers.size() + parts.size() > quarantine::max_proofs) {
        c.quarantine.own_answers.clear();
    }
    for (const quarantine::part_id part : parts) {
        c.quarantine.own_answers[part] = now;
    }
}

void record_engine_alive(core& c, const std::string& ip, std::uint64_t born_ms, time_point now) {
    std::erase_if(c.quarantine.own_crashes,
                  [&](const auto& crash) { return now - crash.second > own_crash_lifetime; });
    std::vector<quarantine::incarnation> alive;
    for (const auto& [engine, crashed_at] : c.quarantine.own_crashes) {
        const auto u = c.view.upstreams.find(engine.upstream);
        if (engine.born_ms != born_ms || now - crashed_at <= report_transit_time ||
            u == c.view.upstreams.end()) {
            continue;
        }
        const auto at = settings::parse_endpoint(u->second.address);
        if (at && at->ip == ip) {
            alive.push_back(engine);
        }
    }
    for (const quarantine::incarnation& engine : alive) {
        quarantine::record_answer(c.quarantine.known, engine, {}, now, now);
        c.quarantine.own_crashes.erase(engine);
        log_event(severity::info, event::engine_crash_refuted,
                  {{"upstream", engine.upstream}, {"born_ms", engine.born_ms}});
        share_after(c, share_delay);
    }
}

void merge_crash_news(core& c, const schema::crash_news& news, time_point now) {
    if (quarantine::merge(c.quarantine.known, news, now) && !news.crashes().empty()) {
        crashes_changed(c, now);
        share_after(c, answers_delay);
    }
}

void share_crashes(core& c, time_point now) {
    quarantine_state& q = c.quarantine;
    q.share_scheduled = false;
    quarantine::expire(q.known, now);
    schema::crash_news news = quarantine::news_since(q.known, q.shared_revision, now);
    // Only this gateway's own answers are shared: the times of merged ones include the time that
    // they were under way, and would become later with each hop.
    news.clear_answered();
    for (const quarantine::proof& p : quarantine::proofs_since(q.known, q.shared_revision)) {
        const auto own = q.own_answers.find(p.part);
        if (own == q.own_answers.end() || own->second != p.at ||
            q.shared_answers.contains(p.part)) {
            continue;
        }
        if (p.at > q.changed_at) {
            q.shared_answers.insert(p.part);
        }
        schema::answered_part& a = *news.add_answered();
        a.set_id(p.part);
        a.set_age_ms(static_cast<std::uint64_t>(to_milliseconds(now - p.at)));
    }
    q.shared_revision = q.known.revision;
    if (c.send_crash_news && !quarantine::is_empty(news)) {
        c.send_crash_news(std::move(news));
    }
}

}  // namespace burdockdeck::gateway
