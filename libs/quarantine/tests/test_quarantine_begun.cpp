// Simulated fleets whose engines crash while they write an answer.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>

#include "simulated_fleet.h"

using namespace burdockdeck;
using namespace burdockdeck::quarantine;
using namespace burdockdeck::quarantine::simulation;
using namespace std::chrono_literals;

namespace {

// Time from the first event of an answer on a deadly part to the crash.
struct crash_delay {
    duration shortest;
    duration longest;
};
constexpr std::array<crash_delay, 3> all_delays{{{5ms, 5ms}, {200ms, 800ms}, {1s, 3s}}};
constexpr std::array<poison, 4> new_poisons{poison::added, poison::subject, poison::first,
                                            poison::two};

}  // namespace

// Guards against a part that crashes engines after the first events of each answer.
TEST_CASE("deadly requests that have begun to be answered stop reaching engines") {
    const unsigned seeds = seeds_to_run(5);
    MESSAGE("seeds 1 to " << seeds);
    for (const crash_delay& delay : all_delays) {
        for (const poison kind : new_poisons) {
            std::uint32_t worst_late = 0;
            double worst_share = 1;
            std::uint32_t begun = 0;
            std::uint32_t lost = 0;
            std::uint32_t refused = 0;
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                CAPTURE(seed);
                CAPTURE(static_cast<int>(kind));
                CAPTURE(to_milliseconds(delay.longest));
                scenario s = fleet_of(seed);
                s.kind = kind;
                s.min_crash_delay = delay.shortest;
                s.max_crash_delay = delay.longest;
                const outcome_counts o = fleet(s, seed + 1000 * static_cast<unsigned>(kind)).run();
                CHECK(late_sends(o) <= max_late_sends);
                CHECK(sound_share(o, s) >= 0.5);
                worst_late = std::max(worst_late, late_sends(o));
                worst_share = std::min(worst_share, sound_share(o, s));
                begun += o.sound_begun;
                lost += o.sound_begun_lost;
                refused += o.sound_begun_refused;
            }
            MESSAGE("poison " << static_cast<int>(kind) << ", crash up to "
                              << to_milliseconds(delay.longest) << " ms after the first event: "
                              << worst_late << " late sends, share of sound requests begun "
                              << worst_share << "; of " << begun << " sound answers begun, " << lost
                              << " lost in crashes and " << refused << " ended by a gateway");
        }
    }
}
