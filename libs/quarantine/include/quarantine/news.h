// Crash news between processes. Clocks differ, so times travel as ages.
#pragma once

#include "quarantine/quarantine.h"
#include "site.pb.h"

namespace burdockdeck::quarantine {

// --- Queries

// What changed in `t` after `revision`.
[[nodiscard]] schema::crash_news news_since(const table& t, std::uint64_t revision, time_point now);
[[nodiscard]] bool is_empty(const schema::crash_news& news);
// Writes `p` into `a`.
void encode(const proof& p, time_point now, schema::answered_part& a);

// --- Commands

// Merges news that was sent just before `now`. True if something changed.
bool merge(table& t, const schema::crash_news& news, time_point now);

}  // namespace burdockdeck::quarantine
