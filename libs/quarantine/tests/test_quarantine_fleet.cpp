// Simulated fleets whose engines crash before they begin to answer.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "simulated_fleet.h"

using namespace burdockdeck;
using namespace burdockdeck::quarantine;
using namespace burdockdeck::quarantine::simulation;
using namespace std::chrono_literals;

TEST_CASE("deadly requests stop reaching engines, and sound ones go on") {
    const unsigned seeds = seeds_to_run(5);
    MESSAGE("seeds 1 to " << seeds);
    for (const poison kind : all_poisons) {
        std::uint32_t worst_late = 0;
        double worst_share = 1;
        std::size_t most_crashes = 0;
        counts sound;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            CAPTURE(static_cast<int>(kind));
            scenario s = fleet_of(seed);
            s.kind = kind;
            const outcome_counts o = fleet(s, seed + 1000 * static_cast<unsigned>(kind)).run();
            CHECK(late_sends(o) <= max_late_sends);
            CHECK(sound_share(o, s) >= 0.5);
            worst_late = std::max(worst_late, late_sends(o));
            worst_share = std::min(worst_share, sound_share(o, s));
            for (const auto& [part, times] : o.crashes) {
                most_crashes = std::max(most_crashes, times.size());
            }
            const counts c = sum(o.sound, 10, 170);
            sound.requests += c.requests;
            sound.refused += c.refused;
        }
        MESSAGE("poison " << static_cast<int>(kind) << ": most late sends " << worst_late
                          << ", most crashes of a part " << most_crashes
                          << ", least share of sound requests begun " << worst_share
                          << ", sound requests refused " << sound.refused << " of "
                          << sound.requests);
    }
}

TEST_CASE("crashes that no request caused refuse fewer than one sound request in 100") {
    const unsigned seeds = seeds_to_run(8);
    MESSAGE("seeds 1 to " << seeds);
    std::uint32_t refused = 0;
    std::uint32_t requests = 0;
    std::uint32_t ended = 0;
    std::uint32_t not_repeated = 0;
    double worst = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        scenario s = fleet_of(seed);
        s.innocent_crashes = true;
        const outcome_counts o = fleet(s, seed).run();
        const counts c = sum(o.sound, 0, o.sound.size());
        CHECK(share_of(c.refused, c.requests) < 0.01);
        worst = std::max(worst, share_of(c.refused, c.requests));
        requests += c.requests;
        refused += c.refused;
        ended += o.sound_ended_by_crash;
        not_repeated += o.sound_not_repeated;
    }
    MESSAGE("refused " << refused << " of " << requests << ", worst share " << worst
                       << "; ended by a crash " << ended << ", of these not repeated "
                       << not_repeated);
}

TEST_CASE("simpler decisions fail the same checks") {
    std::uint32_t worst_late = 0;
    double worst_share = 1;
    for (unsigned seed = 1; seed <= 4; ++seed) {
        scenario s = fleet_of(seed);
        s.kind = poison::added;
        s.decide = policy::none;
        worst_late = std::max(worst_late, late_sends(fleet(s, seed).run()));
        s.decide = policy::naive;
        worst_share = std::min(worst_share, sound_share(fleet(s, seed).run(), s));
    }
    MESSAGE("without a decision: late sends " << worst_late << "; counting by part: share begun "
                                              << worst_share);
    CHECK(worst_late > max_late_sends);
    CHECK(worst_share < 0.5);
}
