// Simulated fleets of 3 to 200 gateways that send to one upstream with a stated limit: permits come
// from a leader that changes, is lost for some time and answers late or not at all, gateways
// restart and hear of the limit late, and the limit changes. The environment variable
// BURDOCKDECK_TEST_SEEDS sets the number of seeds.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ratelimit/permits.h"

using namespace burdockdeck;
using namespace burdockdeck::ratelimit;
using namespace std::chrono_literals;

namespace {

// What operators allow: this many times the limit over the window, and some more.
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;
constexpr duration window = 4s;
// Time after which the limit is to be kept.
constexpr duration settling = 3s;
constexpr duration end = 60s;
constexpr duration leader_timeout = 1s;
const time_point start{1000s};
const target upstream{"u1", 1};

// How a gateway decides. The naive one knows nothing of the others and keeps the limit by itself.
enum class policy { permits, naive, none };

struct scenario {
    unsigned gateways = 7;
    double limit = 1;
    // Demand as a multiple of the limit.
    double demand = 4;
    // The share of demand that arrives at the first gateway.
    double skew = 0;
    bool leader_changes = false;
    // Time without a leader at each change.
    duration election = 0s;
    double lost_calls = 0;
    duration call_delay = 3ms;
    policy decide = policy::permits;
};

struct gateway {
    std::string name;
    time_point denied_until{};
    time_point ask_at{};
    time_point leader_heard_at{};
    time_point heard_at{};
    bucket own;
};

struct simulation {
    scenario s;
    std::mt19937 rng;
    std::vector<gateway> gateways;
    ledger leader;
    time_point leader_back_at = start;
    time_point next_change = start + 8s;
    std::vector<time_point> arrivals;

    bool chance(double p) {
        return std::uniform_real_distribution<double>(0, 1)(rng) < p;
    }

    duration delay() {
        return std::chrono::duration_cast<duration>(
            s.call_delay * std::uniform_real_distribution<double>(0.3, 3)(rng));
    }

    void change_leader(time_point now) {
        if (!s.leader_changes || now < next_change) {
            return;
        }
        // A new leader knows of no permits.
        leader = {};
        leader_back_at = now + s.election;
        next_change =
            now + std::chrono::milliseconds(std::uniform_int_distribution<int>(6000, 15000)(rng));
    }

    // When the request leaves the gateway; empty if it goes elsewhere.
    std::optional<time_point> decide(gateway& g, time_point now) {
        if (s.decide == policy::none || now < g.heard_at) {
            return now;
        }
        if (now < g.denied_until) {
            return std::nullopt;
        }
        permit p{false, 200ms};
        time_point answered = now;
        if (s.decide == policy::naive) {
            p = take(g.own, s.limit, 0ms, now);
        } else if (now >= leader_back_at && now >= g.ask_at && !chance(s.lost_calls)) {
            const time_point asked = now + delay();
            record_limit(leader, upstream, {s.limit, asked});
            p = request_permit(leader, upstream, chance(0.3) ? 1000ms : 0ms, asked);
            answered = asked + delay();
            g.leader_heard_at = answered;
        } else {
            g.ask_at = std::max(g.ask_at, now + 500ms);
            if (now - std::max(g.leader_heard_at, leader_back_at <= now ? now : start) >=
                leader_timeout) {
                const double share = share_without_ledger(
                    g.name, upstream, s.limit, static_cast<std::uint32_t>(gateways.size()));
                p = share > 0 ? take(g.own, share, 0ms, now) : permit{false, leader_timeout};
            }
        }
        if (!p.granted) {
            g.denied_until = answered + p.wait;
            return std::nullopt;
        }
        return answered + p.wait;
    }

    void run() {
        for (unsigned i = 0; i < s.gateways; ++i) {
            gateway g;
            g.name = "gateway-" + std::to_string(i);
            // Control passes the limit on within a second.
            g.heard_at = start + std::chrono::milliseconds(
                                     std::uniform_int_distribution<int>(50, 1000)(rng));
            g.leader_heard_at = start;
            gateways.push_back(g);
        }
        std::exponential_distribution<double> gap(s.demand * s.limit);
        for (time_point now = start; now < start + end;) {
            now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(rng)));
            change_leader(now);
            const std::size_t at = chance(s.skew) ? 0
                                                  : std::uniform_int_distribution<std::size_t>(
                                                        0, gateways.size() - 1)(rng);
            if (const auto sent = decide(gateways[at], now)) {
                arrivals.push_back(*sent + delay());
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
    }

    [[nodiscard]] std::size_t most_in_window() const {
        std::size_t most = 0;
        auto first = std::lower_bound(arrivals.begin(), arrivals.end(), start + settling);
        for (auto last = first; last != arrivals.end(); ++last) {
            while (*last - *first >= window) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }
};

simulation play(const scenario& s, unsigned seed) {
    simulation sim{s, std::mt19937(seed), {}, {}, start, start + 8s, {}};
    sim.run();
    return sim;
}

double allowed(const scenario& s) {
    return allowed_factor * s.limit * std::chrono::duration<double>(window).count() + allowed_extra;
}

unsigned seeds() {
    const char* text = std::getenv("BURDOCKDECK_TEST_SEEDS");
    return text == nullptr ? 10 : static_cast<unsigned>(std::atoi(text));
}

void check_within_limit(const scenario& s, unsigned seed) {
    const simulation sim = play(s, seed);
    CAPTURE(seed);
    CAPTURE(s.gateways);
    CAPTURE(s.limit);
    CHECK(static_cast<double>(sim.most_in_window()) <= allowed(s));
}

}  // namespace

// Guards against a limit that each gateway keeps by itself and their sum exceeds.
TEST_CASE("the fleet's requests stay within the limit of an upstream") {
    for (unsigned seed = 1; seed <= seeds(); ++seed) {
        for (const unsigned gateways : {3U, 7U, 27U, 80U, 200U}) {
            for (const double limit : {0.3, 1.0, 3.4, 12.0}) {
                scenario s;
                s.gateways = gateways;
                s.limit = limit;
                check_within_limit(s, seed);
                s.skew = 0.8;
                s.demand = 10;
                s.lost_calls = 0.03;
                s.call_delay = 30ms;
                check_within_limit(s, seed);
            }
        }
    }
}

TEST_CASE("the limit is kept while leaders change and are missing for some time") {
    for (unsigned seed = 1; seed <= seeds(); ++seed) {
        for (const unsigned gateways : {3U, 7U, 27U, 200U}) {
            for (const double limit : {0.3, 1.0, 3.4, 12.0}) {
                scenario s;
                s.gateways = gateways;
                s.limit = limit;
                s.leader_changes = true;
                check_within_limit(s, seed);
                s.election = 1500ms;
                check_within_limit(s, seed);
            }
        }
    }
}

TEST_CASE("most of the limit is used, whoever has the demand") {
    for (unsigned seed = 1; seed <= seeds(); ++seed) {
        for (const unsigned gateways : {3U, 27U, 200U}) {
            for (const double skew : {0.0, 0.9}) {
                scenario s;
                s.gateways = gateways;
                s.limit = 3;
                s.skew = skew;
                s.demand = 6;
                const double sent = static_cast<double>(play(s, seed).arrivals.size());
                CHECK(sent >= 0.75 * s.limit * std::chrono::duration<double>(end).count());
            }
        }
    }
}

TEST_CASE("a gateway that keeps the limit by itself is not enough") {
    scenario s;
    s.gateways = 27;
    s.decide = policy::naive;
    s.demand = 20;
    CHECK(static_cast<double>(play(s, 1).most_in_window()) > allowed(s));
    s.decide = policy::none;
    CHECK(static_cast<double>(play(s, 1).most_in_window()) > allowed(s));
}
