// Simulated fleets with long answers, which tell late that a part is sound.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>

#include "simulated_fleet.h"

using namespace burdockdeck;
using namespace burdockdeck::quarantine;
using namespace burdockdeck::quarantine::simulation;
using namespace std::chrono_literals;

// Guards against a popular part that turns deadly and crashes engines after the first event.
TEST_CASE("a part that used to be answered is contained when it crashes engines after events") {
    const unsigned seeds = seeds_to_run(5);
    MESSAGE("seeds 1 to " << seeds);
    std::uint32_t worst_late = 0;
    for (const duration longest_answer : {1500ms, 6000ms}) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            CAPTURE(to_milliseconds(longest_answer));
            scenario s = fleet_of(seed);
            s.kind = poison::turned;
            s.max_answer = longest_answer;
            s.min_crash_delay = 5ms;
            s.max_crash_delay = 5ms;
            const outcome_counts o =
                fleet(s, seed + 1000 * static_cast<unsigned>(poison::turned)).run();
            CHECK(late_sends(o) <= max_late_sends);
            CHECK(sound_share(o, s) >= 0.5);
            worst_late = std::max(worst_late, late_sends(o));
        }
    }
    MESSAGE("most late sends " << worst_late);
}

// Guards against false verdicts while few answers are complete in time.
TEST_CASE("crashes that no request caused refuse few requests with long answers") {
    const unsigned seeds = seeds_to_run(8);
    MESSAGE("seeds 1 to " << seeds);
    std::uint32_t begun = 0;
    std::uint32_t lost = 0;
    std::uint32_t ended = 0;
    counts all;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        scenario s = fleet_of(seed);
        s.innocent_crashes = true;
        s.max_answer = 6s;
        const outcome_counts o = fleet(s, seed).run();
        const counts c = sum(o.sound, 0, o.sound.size());
        CHECK(share_of(c.refused, c.requests) < 0.01);
        all.requests += c.requests;
        all.refused += c.refused;
        begun += o.sound_begun;
        lost += o.sound_begun_lost;
        ended += o.sound_begun_refused;
    }
    MESSAGE("refused " << all.refused << " of " << all.requests << "; of " << begun
                       << " answers begun, " << lost << " lost in crashes and " << ended
                       << " ended by a gateway");
}
