// Stated limits between processes. Clocks differ, so times travel as ages.
#pragma once

#include "ratelimit/permits.h"
#include "site.pb.h"

namespace burdockdeck::ratelimit {

[[nodiscard]] schema::rate_limit to_message(const target& t, const stated_limit& s, time_point now);
[[nodiscard]] target target_of(const schema::rate_limit& m);
// The statement in a message that was sent just before `now`. A rate that is negative or no number
// states no limit.
[[nodiscard]] stated_limit statement_of(const schema::rate_limit& m, time_point now);

}  // namespace burdockdeck::ratelimit
