// Simulated fleets under virtual time: gateways that share their tables with a delay, engines that
// deadly requests crash, and crashes and connection resets that no request caused. The environment
// variable BURDOCKDECK_TEST_SEEDS sets the number of seeds.
#pragma once

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "quarantine/quarantine.h"

namespace burdockdeck::quarantine::simulation {

using namespace std::chrono_literals;

inline constexpr duration stable_window = 3s;
inline constexpr std::uint32_t max_late_sends = 3;
inline constexpr unsigned max_sends = 3;
inline constexpr part_id deadly_base = 1'000'000;

// Which part of a deadly request is deadly.
enum class poison { none, added, subject, first, turned, two };
inline constexpr std::array<poison, 5> all_poisons{poison::added, poison::subject, poison::first,
                                                   poison::turned, poison::two};

// The decision under test, and two to compare it with. The naive one counts the crashes of each
// part, knows all crashes of the fleet at once, and refuses a request if any of its parts has two.
enum class policy { quarantined, naive, none };

struct scenario {
    unsigned gateways = 8;
    unsigned engines = 9;
    double per_second = 15;
    unsigned subjects = 17;
    poison kind = poison::none;
    policy decide = policy::quarantined;
    double deadly_share = 0.05;
    // Longest time until a gateway notices a crash, and until a request begins.
    duration notice = 100ms;
    duration wait = 400ms;
    // Time from the first event of an answer to its end, and to the crash of an engine that writes
    // an answer on a deadly part; engines end before the first event if `max_crash_delay` is zero.
    duration min_answer = 300ms;
    duration max_answer = 1500ms;
    duration min_crash_delay{};
    duration max_crash_delay{};
    bool innocent_crashes = false;
    duration poison_from = 10s;
    duration poison_to = 170s;
    duration end = 180s;
};

struct request {
    part_list parts;
    std::set<part_id> deadly;
    bool same_first_part = false;
    unsigned callers_attempt = 1;
    unsigned sends = 0;
};

struct counts {
    std::uint32_t requests = 0;
    std::uint32_t begun = 0;
    std::uint32_t refused = 0;
};

struct outcome_counts {
    // Times of the crashes and the sends of each deadly part.
    std::map<part_id, std::vector<time_point>> crashes;
    std::map<part_id, std::vector<time_point>> sends;
    // Caller's first attempts of sound requests, by second of arrival: all, and those with the
    // first part of deadly ones.
    std::vector<counts> sound;
    std::vector<counts> same_first_part;
    std::uint32_t sound_ended_by_crash = 0;
    std::uint32_t sound_not_repeated = 0;
    // Sound answers that had begun: all, those that a crash ended and no other engine went on with,
    // and those that a gateway ended because of their parts.
    std::uint32_t sound_begun = 0;
    std::uint32_t sound_begun_lost = 0;
    std::uint32_t sound_begun_refused = 0;
};

// One fleet. Everything happens in the order of the events' times.
class fleet {
public:
    fleet(const scenario& s, unsigned seed) : s_(s), rng_(seed), gateways_(s.gateways) {
        out_.sound.resize(static_cast<std::size_t>(s.end / 1s) + 1);
        out_.same_first_part.resize(out_.sound.size());
        engines_.resize(s.engines);
        for (engine_state& e : engines_) {
            e.id = {"engine-" + std::to_string(next_id_), next_id_};
            ++next_id_;
        }
    }

    outcome_counts run() {
        plan_arrivals();
        if (s_.innocent_crashes) {
            plan_innocent_crashes();
        }
        for (unsigned g = 0; g < s_.gateways && s_.decide == policy::quarantined; ++g) {
            at(between(0ms, 300ms), [this, g] { share(g); });
        }
        while (!events_.empty() && events_.top().at < time_of(s_.end)) {
            const event e = events_.top();
            events_.pop();
            now_ = e.at;
            e.act();
        }
        return std::move(out_);
    }

private:
    struct event {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const event& o) const {
            return std::tie(o.at, o.order) < std::tie(at, order);
        }
    };
    struct run_state {
        std::shared_ptr<request> r;
        unsigned gateway = 0;
        time_point sent_at;
        // When the first event was written; the epoch if none was.
        time_point began_at{};

        [[nodiscard]] bool begun() const {
            return began_at != time_point{};
        }
    };
    struct engine_state {
        incarnation id;
        bool up = true;
        std::map<std::uint64_t, run_state> running;
    };
    struct gateway_state {
        table known;
        std::uint64_t shared = 0;
        std::uint64_t received = 0;
    };

    static time_point time_of(duration d) {
        return time_point{1h} + d;
    }
    double unit() {
        return std::uniform_real_distribution<>(0, 1)(rng_);
    }
    unsigned pick(unsigned n) {
        return static_cast<unsigned>(rng_() % n);
    }
    duration between(duration low, duration high) {
        return low + duration(static_cast<std::int64_t>(unit() * double((high - low).count())));
    }
    void at(duration from_now, std::function<void()> act) {
        events_.push({now_ + from_now, ++order_, std::move(act)});
    }

    // Popular subjects are asked for more often than rare ones.
    part_id subject_of(unsigned first) {
        const auto rank = static_cast<unsigned>(unit() * unit() * s_.subjects);
        return 1000 * (first + 1) + rank;
    }

    void plan_arrivals() {
        duration t{};
        while (t < s_.end) {
            t += duration(static_cast<std::int64_t>(
                std::exponential_distribution<>(s_.per_second)(rng_) * 1e9));
            auto r = std::make_shared<request>();
            const unsigned first = std::min(pick(3), pick(3));
            part_id subject = subject_of(first);
            std::vector<part_id> parts{1 + first};
            const bool time_of_poison = t >= s_.poison_from && t < s_.poison_to;
            const bool chosen = s_.kind != poison::none && unit() < s_.deadly_share;
            if (s_.kind == poison::turned) {
                if (time_of_poison && subject == 1003) {
                    r->deadly.insert(subject);
                }
            } else if (chosen && time_of_poison) {
                const part_id d = deadly_base + (s_.kind == poison::two ? pick(2) : 0);
                r->deadly.insert(d);
                if (s_.kind == poison::first) {
                    parts[0] = d;
                } else if (s_.kind == poison::subject) {
                    subject = d;
                } else {
                    parts.push_back(d);
                }
            }
            parts.push_back(subject);
            std::sort(parts.begin(), parts.end());
            r->parts = parts;
            r->same_first_part = first == 0;
            at(t, [this, r] { arrive(r); });
        }
    }

    void plan_innocent_crashes() {
        for (duration t = 5s; t < s_.end; t += between(1s, 9s)) {
            at(t, [this] { crash(pick(s_.engines)); });
        }
        for (duration t = 5s; t < s_.end; t += between(1s, 5s)) {
            at(t, [this] { reset_one(pick(s_.engines)); });
        }
        for (const double share : {0.15, 0.34, 0.15}) {
            at(between(5s, s_.end), [this, share] {
                for (unsigned i = 0; i < s_.engines; ++i) {
                    if (unit() < share) {
                        at(between(0ms, 200ms), [this, i] { crash(i); });
                    }
                }
            });
        }
        // Every engine is lost, within two seconds.
        at(between(5s, s_.end), [this] {
            for (unsigned i = 0; i < s_.engines; ++i) {
                at(between(0ms, 2s), [this, i] { crash(i); });
            }
        });
    }

    std::vector<counts*> counted(const request& r, time_point arrived) {
        const auto second = static_cast<std::size_t>((arrived - time_of(0s)) / 1s);
        std::vector<counts*> all;
        if (r.deadly.empty() && r.callers_attempt == 1) {
            all.push_back(&out_.sound[second]);
            if (r.same_first_part) {
                all.push_back(&out_.same_first_part[second]);
            }
        }
        return all;
    }

    bool refuses(unsigned g, const request& r) {
        switch (s_.decide) {
            case policy::quarantined:
                return judge(gateways_[g].known, r.parts, now_).quarantined;
            case policy::naive:
                return std::any_of(r.parts.begin(), r.parts.end(),
                                   [&](part_id p) { return naive_[p].size() >= 2; });
            case policy::none:
                return false;
        }
        return false;
    }

    void arrive(const std::shared_ptr<request>& r) {
        for (counts* c : counted(*r, now_)) {
            ++c->requests;
        }
        r->sends = 0;
        const time_point arrived = now_;
        const unsigned g = pick(s_.gateways);
        if (refuses(g, *r)) {
            for (counts* c : counted(*r, arrived)) {
                ++c->refused;
            }
            return call_again(r);
        }
        send(r, g, arrived);
    }

    void call_again(const std::shared_ptr<request>& r) {
        if (r->callers_attempt++ == 1) {
            at(between(200ms, 600ms), [this, r] { arrive(r); });
        }
    }

    void send(const std::shared_ptr<request>& r, unsigned g, time_point arrived) {
        std::vector<unsigned> up;
        for (unsigned i = 0; i < s_.engines; ++i) {
            if (engines_[i].up) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return call_again(r);
        }
        const unsigned i = up[pick(static_cast<unsigned>(up.size()))];
        const std::uint64_t run = ++runs_;
        engines_[i].running[run] = {r, g, now_, {}};
        ++r->sends;
        for (const part_id d : r->deadly) {
            out_.sends[d].push_back(now_);
        }
        at(between(60ms, s_.wait), [this, i, run, arrived] { begin(i, run, arrived); });
    }

    void begin(unsigned i, std::uint64_t run, time_point arrived) {
        const auto found = engines_[i].running.find(run);
        if (found == engines_[i].running.end()) {
            return;
        }
        run_state& state = found->second;
        const bool deadly = !state.r->deadly.empty();
        if (deadly && s_.max_crash_delay == duration{}) {
            return crash_by(i, *state.r);
        }
        state.began_at = now_;
        for (counts* c : counted(*state.r, arrived)) {
            ++c->begun;
        }
        out_.sound_begun += !deadly;
        record_event(gateways_[state.gateway].known, engines_[i].id, state.sent_at);
        at(min_progress, [this, i, run] { go_on(i, run); });
        if (deadly) {
            at(between(s_.min_crash_delay, s_.max_crash_delay), [this, i, run] {
                const auto writing = engines_[i].running.find(run);
                if (writing != engines_[i].running.end()) {
                    crash_by(i, *writing->second.r);
                }
            });
            return;
        }
        at(between(s_.min_answer, s_.max_answer), [this, i, run] {
            const auto finished = engines_[i].running.find(run);
            if (finished != engines_[i].running.end()) {
                const run_state& done = finished->second;
                record_answer(gateways_[done.gateway].known, engines_[i].id, done.r->parts,
                              done.sent_at, now_);
                engines_[i].running.erase(finished);
            }
        });
    }

    // The answer has gone on for `min_progress`.
    void go_on(unsigned i, std::uint64_t run) {
        const auto found = engines_[i].running.find(run);
        if (found != engines_[i].running.end()) {
            const run_state& state = found->second;
            record_progress(gateways_[state.gateway].known, engines_[i].id, state.r->parts,
                            state.sent_at);
        }
    }

    void crash_by(unsigned i, const request& r) {
        for (const part_id d : r.deadly) {
            out_.crashes[d].push_back(now_);
        }
        crash(i);
    }

    // The gateway ends what it has sent and now refuses.
    void end_refused(unsigned g) {
        for (engine_state& e : engines_) {
            std::erase_if(e.running, [&](const auto& entry) {
                const run_state& state = entry.second;
                if (state.gateway != g || !refuses(g, *state.r)) {
                    return false;
                }
                out_.sound_begun_refused += state.begun() && state.r->deadly.empty();
                call_again(state.r);
                return true;
            });
        }
    }

    void crash(unsigned i) {
        engine_state& e = engines_[i];
        if (!e.up) {
            return;
        }
        e.up = false;
        for (const auto& [run, state] : e.running) {
            end_by_crash(e.id, state);
        }
        e.running.clear();
        at(between(3s, 6s), [this, i] {
            // Some start again under their old id.
            const std::uint64_t start = next_id_++;
            if (pick(4) != 0) {
                engines_[i].id.upstream = "engine-" + std::to_string(start);
            }
            engines_[i].id.born_ms = start;
            engines_[i].up = true;
        });
    }

    // One request's connection is reset; the engine lives on.
    void reset_one(unsigned i) {
        engine_state& e = engines_[i];
        if (!e.running.empty()) {
            const auto first = e.running.begin();
            end_by_crash(e.id, first->second);
            e.running.erase(first);
        }
    }

    void end_by_crash(const incarnation& id, const run_state& state) {
        at(between(1ms, s_.notice),
           [this, id, state, ended_at = now_] { notice(id, state, ended_at); });
    }

    void notice(const incarnation& id, const run_state& state, time_point ended_at) {
        table& known = gateways_[state.gateway].known;
        if (s_.decide == policy::quarantined) {
            record_crash(known, id, state.r->parts, now_);
            end_refused(state.gateway);
        }
        for (const part_id p : state.r->parts) {
            naive_[p].insert(id);
        }
        const bool sound = state.r->deadly.empty();
        out_.sound_ended_by_crash += sound;
        const duration written_for = state.begun() ? ended_at - state.began_at : duration::zero();
        const bool repeat = s_.decide != policy::quarantined ||
                            !may_be_cause(known, id, state.r->parts, written_for, now_);
        out_.sound_not_repeated += sound && !repeat;
        if (repeat && state.r->sends < max_sends && !refuses(state.gateway, *state.r)) {
            return send(state.r, state.gateway, now_);
        }
        out_.sound_begun_lost += sound && state.begun();
        call_again(state.r);
    }

    // Exchanges changes with the control instance that all gateways share. Times travel as ages, so
    // they arrive later by the time of the transfer.
    void share(unsigned g) {
        const auto carry = [this](table& from, std::uint64_t& sent, std::function<table*()> to) {
            const auto crashes = changed_since(from, sent);
            const auto proofs = proofs_since(from, sent);
            sent = from.revision;
            const duration transfer = between(200ms, 300ms);
            if (!crashes.empty() || !proofs.empty()) {
                at(transfer, [crashes, proofs, transfer, to] {
                    auto late_crashes = crashes;
                    auto late_proofs = proofs;
                    for (crash_record& r : late_crashes) {
                        r.at += transfer;
                    }
                    for (proof& p : late_proofs) {
                        p.at += transfer;
                    }
                    merge(*to(), late_crashes, late_proofs);
                });
            }
        };
        gateway_state& me = gateways_[g];
        carry(me.known, me.shared, [this] { return &control_; });
        carry(control_, me.received, [this, g] { return &gateways_[g].known; });
        end_refused(g);
        at(300ms, [this, g] { share(g); });
    }

    scenario s_;
    std::mt19937_64 rng_;
    std::vector<gateway_state> gateways_;
    table control_;
    std::vector<engine_state> engines_;
    std::map<part_id, std::set<incarnation>> naive_;
    std::priority_queue<event> events_;
    outcome_counts out_;
    time_point now_ = time_of(0s);
    std::uint64_t order_ = 0;
    std::uint64_t runs_ = 0;
    std::uint64_t next_id_ = 1;
};

inline unsigned seeds_to_run(unsigned otherwise) {
    const char* wanted = std::getenv("BURDOCKDECK_TEST_SEEDS");
    return wanted != nullptr ? static_cast<unsigned>(std::atoi(wanted)) : otherwise;
}

inline scenario fleet_of(unsigned seed) {
    constexpr std::array<scenario, 4> sizes{
        {{8, 9, 15, 17}, {8, 12, 20, 34}, {27, 44, 80, 51}, {27, 20, 30, 51}}};
    constexpr std::array<double, 3> shares{0.05, 0.02, 0.15};
    scenario s = sizes[seed % sizes.size()];
    s.deadly_share = shares[seed / 4 % shares.size()];
    s.innocent_crashes = seed % 3 != 0;
    s.notice = seed % 5 == 0 ? 600ms : 100ms;
    s.wait = seed % 7 == 0 ? 2s : 400ms;
    return s;
}

// The most sends of one deadly part later than the stable window after its fifth crash.
inline std::uint32_t late_sends(const outcome_counts& o) {
    std::uint32_t worst = 0;
    for (const auto& [part, sends] : o.sends) {
        const auto crashes = o.crashes.find(part);
        if (crashes == o.crashes.end() || crashes->second.size() < 5) {
            continue;
        }
        const time_point from = crashes->second[4] + stable_window;
        const auto late =
            std::count_if(sends.begin(), sends.end(), [&](time_point t) { return t > from; });
        worst = std::max(worst, static_cast<std::uint32_t>(late));
    }
    return worst;
}

inline counts sum(const std::vector<counts>& all, std::size_t from, std::size_t to) {
    counts out;
    for (std::size_t i = from; i < std::min(to, all.size()); ++i) {
        out.requests += all[i].requests;
        out.begun += all[i].begun;
        out.refused += all[i].refused;
    }
    return out;
}

inline double share_of(std::uint32_t part, std::uint32_t all) {
    return all == 0 ? 0 : double(part) / all;
}

// First attempts begun of sound requests with the deadly ones' first part while the poison lasts,
// relative to the share before it.
inline double sound_share(const outcome_counts& o, const scenario& s) {
    time_point last_that_counts{};
    for (const auto& [part, times] : o.crashes) {
        last_that_counts =
            std::max(last_that_counts, times[std::min<std::size_t>(times.size(), 5) - 1]);
    }
    const auto from =
        static_cast<std::size_t>((last_that_counts + 2 * stable_window - time_point{1h}) / 1s);
    const counts during = sum(o.same_first_part, from, static_cast<std::size_t>(s.poison_to / 1s));
    const counts before = sum(o.same_first_part, 0, static_cast<std::size_t>(s.poison_from / 1s));
    return during.requests < 20
               ? 1
               : share_of(during.begun, during.requests) / share_of(before.begun, before.requests);
}

}  // namespace burdockdeck::quarantine::simulation
