// Records crashes and answers of this gateway's attempts, and shares them.
#include "quarantine.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

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
    c.quarantine.shared_whole_answers.clear();
    c.metrics.set("burdockdeck_quarantine_crashes",
                  static_cast<double>(c.quarantine.known.crashes.size()));
    abort_quarantined_attempts(c, now);
}

// Notes an answer of this gateway's upstreams to a request with `parts`.
std::vector<quarantine::proof*> remember_answer(core& c, const quarantine::part_list& parts,
                                                time_point at) {
    if (c.quarantine.own_answers.size() + parts.size() > quarantine::max_proofs) {
        c.quarantine.own_answers.clear();
    }
    std::vector<quarantine::proof*> out;
    for (const quarantine::part_id part : parts) {
        quarantine::proof& p = c.quarantine.own_answers[part];
        p.part = part;
        p.at = std::max(p.at, at);
        out.push_back(&p);
    }
    return out;
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
    return quarantine::judge(c.quarantine.known, quarantine::shared_parts(r.facts.needs), now);
}

bool is_ended_by_quarantine(const core& c, const request_state& r, const exchange& e) {
    return e.ended_by() == end_cause::aborted &&
           judge_request(c, r, runtime::boot_now()).quarantined;
}

void record_broken_attempt(core& c, request_state& r, const std::string& upstream,
                           end_cause ended_by) {
    record_unanswered(c, r, engine_of(r, upstream), written_time(r), ended_by);
}

void record_unanswered(core& c, request_state& r, const quarantine::incarnation& engine,
                       duration written_for, end_cause ended_by) {
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
    r.may_have_crashed_engine =
        quarantine::may_be_cause(c.quarantine.known, engine, parts, written_for, now);
    log_event(severity::warning, event::engine_crash_suspected,
              {{"request", r.facts.id},
               {"upstream", engine.upstream},
               {"born_ms", engine.born_ms},
               {"written_ms", to_milliseconds(written_for)},
               {"may_be_cause", r.may_have_crashed_engine ? "yes" : "no"},
               {"crashes_known", static_cast<std::uint64_t>(c.quarantine.known.crashes.size())}});
    c.quarantine.own_crashes.try_emplace(engine, now);
    crashes_changed(c, now);
    share_after(c, share_delay);
}

void record_event(core& c, request_state& r, const std::string& upstream, time_point now) {
    const bool first = r.attempt_began_at == time_point{};
    const bool had_progress = written_time(r) >= quarantine::min_progress;
    if (first) {
        r.attempt_began_at = now;
    }
    r.attempt_progress_at = now;
    const quarantine::incarnation engine = engine_of(r, upstream);
    if (first) {
        quarantine::record_event(c.quarantine.known, engine, r.sent_at);
    } else if (!had_progress && written_time(r) >= quarantine::min_progress) {
        const quarantine::part_list parts = quarantine::shared_parts(r.facts.needs);
        quarantine::record_progress(c.quarantine.known, engine, parts, r.sent_at);
        remember_answer(c, parts, r.sent_at);
    }
}

void record_complete_answer(core& c, const request_state& r, const std::string& upstream,
                            time_point now) {
    const quarantine::part_list parts = quarantine::shared_parts(r.facts.needs);
    quarantine::record_answer(c.quarantine.known, engine_of(r, upstream), parts, r.sent_at, now);
    for (quarantine::proof* p : remember_answer(c, parts, now)) {
        p->whole_at = now;
        p->whole_sent_at = std::max(p->whole_sent_at, r.sent_at);
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
        if (own == q.own_answers.end()) {
            continue;
        }
        const bool is_new = own->second.at == p.at && !q.shared_answers.contains(p.part);
        const bool is_new_whole = own->second.whole_at == p.whole_at &&
                                  p.whole_at != time_point{} &&
                                  !q.shared_whole_answers.contains(p.part);
        if (!is_new && !is_new_whole) {
            continue;
        }
        if (own->second.at > q.changed_at) {
            q.shared_answers.insert(p.part);
        }
        if (own->second.whole_at > q.changed_at) {
            q.shared_whole_answers.insert(p.part);
        }
        quarantine::encode(own->second, now, *news.add_answered());
    }
    q.shared_revision = q.known.revision;
    if (c.send_crash_news && !quarantine::is_empty(news)) {
        c.send_crash_news(std::move(news));
    }
}

}  // namespace burdockdeck::gateway
