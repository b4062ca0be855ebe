// Encodes and merges crash news.
#include "quarantine/news.h"

#include <algorithm>

namespace burdockdeck::quarantine {

namespace {

// Older news than this matters to no table; also keeps times from overflowing.
constexpr std::uint64_t max_age_ms = 24ULL * 3600 * 1000;

std::uint64_t age_ms(time_point at, time_point now) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_milliseconds(now - at)));
}

time_point time_of(std::uint64_t age, time_point now) {
    return now - std::chrono::milliseconds(std::min(age, max_age_ms));
}

}  // namespace

void encode(const proof& p, time_point now, schema::answered_part& a) {
    a.set_id(p.part);
    a.set_age_ms(age_ms(p.at, now));
    if (p.whole_at != time_point{}) {
        a.set_whole_age_ms(age_ms(p.whole_at, now));
        a.set_whole_sent_age_ms(age_ms(p.whole_sent_at, now));
    }
}

schema::crash_news news_since(const table& t, std::uint64_t revision, time_point now) {
    schema::crash_news news;
    for (const crash_record& r : changed_since(t, revision)) {
        schema::engine_crash& c = *news.add_crashes();
        c.set_upstream(r.engine.upstream);
        c.set_born_ms(r.engine.born_ms);
        c.set_episode(r.episode);
        c.set_age_ms(age_ms(r.at, now));
        for (const part_list& parts : r.unanswered) {
            c.add_unanswered()->mutable_ids()->Assign(parts.begin(), parts.end());
        }
        c.set_refuted(r.refuted);
    }
    for (const proof& p : proofs_since(t, revision)) {
        encode(p, now, *news.add_answered());
    }
    return news;
}

bool is_empty(const schema::crash_news& news) {
    return news.crashes().empty() && news.answered().empty();
}

bool merge(table& t, const schema::crash_news& news, time_point now) {
    std::vector<crash_record> crashes;
    for (const schema::engine_crash& c : news.crashes()) {
        crash_record r{
            {c.upstream(), c.born_ms()}, c.episode(), time_of(c.age_ms(), now), {}, c.refuted(), 0};
        for (const schema::shared_prompt_parts& parts : c.unanswered()) {
            r.unanswered.emplace_back(parts.ids().begin(), parts.ids().end());
        }
        crashes.push_back(std::move(r));
    }
    std::vector<proof> proofs;
    for (const schema::answered_part& a : news.answered()) {
        proof p{a.id(), time_of(a.age_ms(), now), {}, {}};
        if (a.has_whole_age_ms() && a.has_whole_sent_age_ms()) {
            p.whole_at = time_of(a.whole_age_ms(), now);
            p.whole_sent_at = time_of(a.whole_sent_age_ms(), now);
        }
        proofs.push_back(p);
    }
    return !is_empty(news) && merge(t, crashes, proofs);
}

}  // namespace burdockdeck::quarantine
