// Converts statements to and from messages.
#include "ratelimit/news.h"

#include <algorithm>
#include <cmath>

namespace burdockdeck::ratelimit {

namespace {

// Older statements are as good as this old.
constexpr std::uint64_t max_age_ms = 3'600'000;

}  // namespace

schema::rate_limit to_message(const target& t, const stated_limit& s, time_point now) {
    schema::rate_limit m;
    m.set_upstream(t.upstream);
    m.set_born_ms(t.born_ms);
    m.set_per_second(s.per_second);
    m.set_age_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_milliseconds(now - s.stated_at))));
    return m;
}

target target_of(const schema::rate_limit& m) {
    return {m.upstream(), m.born_ms()};
}

stated_limit statement_of(const schema::rate_limit& m, time_point now) {
    const bool valid = std::isfinite(m.per_second()) && m.per_second() > 0;
    return {valid ? m.per_second() : 0,
            now - std::chrono::milliseconds(std::min(m.age_ms(), max_age_ms))};
}

}  // namespace burdockdeck::ratelimit
