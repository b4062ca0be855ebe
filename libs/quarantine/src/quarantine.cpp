// Crash records and proofs, and the parts that explain the crashes best. What a request is judged
// by is computed when records or proofs change, not for each request.
#include "quarantine/quarantine.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "part_lists.h"

namespace burdockdeck::quarantine {

namespace {

using namespace std::chrono_literals;

// An answer clears its parts of crashes that follow within this time.
constexpr duration proof_validity = 5min;
// A part has turned deadly if this many crashes with it, over at least this time, follow its last
// complete answer. Many engines lost at the same moment are no such sign.
constexpr std::size_t min_crashes_after_answer = 4;
constexpr duration min_span_after_answer = 2500ms;
// The same for a part on which no answer was ever completed.
constexpr duration min_span_unproved = 1s;
// It must have been present at one in this many of the crashes meanwhile.
constexpr std::size_t min_deadly_share_divisor = 2;
constexpr std::size_t min_unproved_share_divisor = 4;
// As many other parts must have been answered in the second half of that time: while all engines
// are down, the lack of an answer says nothing.
constexpr std::uint32_t min_other_answers = 3;
// The same for a part on which no answer was ever completed; routes may share few parts.
constexpr std::uint32_t min_other_answers_unproved = 1;
// Crashes that convict such a part without any other answers: engines may all crash too soon to
// complete one.
constexpr std::size_t min_crashes_without_answers = 8;
// Crashes closer than this are one event, such as the loss of a failure domain.
constexpr duration same_moment = 200ms;
// Crashes this close may have a common cause outside the engines. If there are at least
// `min_common_crashes` of them, they count only for parts present at enough of them.
constexpr duration common_cause_window = 1s;
constexpr std::size_t min_common_crashes = 4;
constexpr std::size_t min_common_share_divisor = 4;

constexpr std::uint32_t min_crashes_to_quarantine = 2;
// Quarantine after the latest crash, for 2, 3, and more crashes. A crash may go unrecorded, so that
// the longest time begins before the fifth.
constexpr std::array<duration, 3> quarantine_times{10s, 1min, 10min};

// An answer later than this after a crash may come from the next start of the engine, before that
// start is announced.
constexpr duration refutation_window = 2s;
constexpr duration proof_publish_interval = 1s;
// Longer than the longest quarantine, so that a crash right after it prolongs it at once.
constexpr duration crash_lifetime = 30min;

// --- What the crashes say

// The evidence about one part.
struct evidence {
    // Times of the unrefuted crashes that the part was present at, ascending.
    std::vector<time_point> present_at;
    std::optional<time_point> answered_at;
    // As in `proof`.
    time_point whole_at{};
    time_point whole_sent_at{};
    // True if the crashes since the last complete answer outweigh what was answered.
    bool turned_deadly = false;
    // Crashes that the part is not cleared of, and those of them without a common cause.
    std::uint32_t uncleared = 0;
    std::uint32_t unexplained = 0;
};

std::size_t count_within(const std::vector<time_point>& ascending, time_point at, duration d) {
    const auto first = std::lower_bound(ascending.begin(), ascending.end(), at - d);
    const auto last = std::upper_bound(ascending.begin(), ascending.end(), at + d);
    return static_cast<std::size_t>(last - first);
}

// True if answers on at least `wanted` parts were completed after `from`.
bool has_answers_since(const table& t, std::uint32_t wanted, time_point from) {
    std::uint32_t count = 0;
    for (const proof_entry& e : t.proofs) {
        count += e.known.whole_at > from;
        if (count >= wanted) {
            return true;
        }
    }
    return false;
}

// The time after which other parts must have been answered for the part to have turned deadly;
// empty if its crashes are no sign of that. `all` are the times of all unrefuted crashes.
std::optional<time_point> turned_deadly_before(const evidence& e,
                                               const std::vector<time_point>& all) {
    if (!e.answered_at) {
        return std::nullopt;
    }
    const auto first = std::upper_bound(e.present_at.begin(), e.present_at.end(), e.whole_sent_at);
    const auto count = static_cast<std::size_t>(e.present_at.end() - first);
    const bool unproved = e.whole_at == time_point{};
    const duration min_span = unproved ? min_span_unproved : min_span_after_answer;
    if (count < min_crashes_after_answer || e.present_at.back() - *first < min_span) {
        return std::nullopt;
    }
    const time_point middle = *first + (e.present_at.back() - *first) / 2;
    const std::size_t divisor = unproved ? min_unproved_share_divisor : min_deadly_share_divisor;
    if (count * divisor < count_within(all, middle, middle - *first)) {
        return std::nullopt;
    }
    return middle;
}

bool is_cleared(const evidence& e, time_point crash_at) {
    if (!e.answered_at) {
        return false;
    }
    if (e.turned_deadly) {
        // An answer may have gone on for some time and then have crashed its engine.
        return e.whole_at > crash_at || *e.answered_at > e.present_at.back();
    }
    return *e.answered_at > crash_at || crash_at - *e.answered_at <= proof_validity;
}

// True if crashes at about the same time make it unlikely that this part caused the one at
// `crash_at`; `all` are the times of all unrefuted crashes.
bool has_common_cause(const evidence& e, const std::vector<time_point>& all, time_point crash_at) {
    const std::size_t around = count_within(all, crash_at, common_cause_window);
    return around >= min_common_crashes &&
           count_within(e.present_at, crash_at, common_cause_window) * min_common_share_divisor <
               around;
}

// Order of blame: the part with more crashes explains more; of equals, the one without an answer.
std::pair<std::uint32_t, bool> weight_of(const evidence& e) {
    return {e.unexplained, !e.turned_deadly};
}

// Recomputes what requests are judged by.
void update_suspicions(table& t) {
    t.present.clear();
    t.suspected.clear();
    t.suspicions.clear();
    t.awaits_answers = false;
    std::vector<const crash_record*> crashes;
    for (const auto& [engine, r] : t.crashes) {
        if (!r.refuted) {
            crashes.push_back(&r);
        }
    }
    std::sort(crashes.begin(), crashes.end(), [](const crash_record* a, const crash_record* b) {
        return std::tie(a->at, a->engine) < std::tie(b->at, b->engine);
    });
    std::vector<time_point> times;
    std::vector<part_list> parts;
    std::unordered_map<part_id, evidence> by_part;
    for (const crash_record* r : crashes) {
        times.push_back(r->at);
        parts.push_back(parts_of(*r));
        for (const part_id p : parts.back()) {
            by_part[p].present_at.push_back(r->at);
        }
    }
    for (auto& [part, e] : by_part) {
        const auto found = t.proof_index.find(part);
        if (found != t.proof_index.end()) {
            e.answered_at = found->second->known.at;
            e.whole_at = found->second->known.whole_at;
            e.whole_sent_at = found->second->known.whole_sent_at;
        }
        if (const auto middle = turned_deadly_before(e, times)) {
            const bool unproved = e.whole_at == time_point{};
            e.turned_deadly =
                (unproved && e.present_at.size() >= min_crashes_without_answers) ||
                has_answers_since(t, unproved ? min_other_answers_unproved : min_other_answers,
                                  *middle);
            t.awaits_answers |= !e.turned_deadly;
        }
        for (const time_point at : e.present_at) {
            const bool uncleared = !is_cleared(e, at);
            e.uncleared += uncleared;
            e.unexplained += uncleared && !has_common_cause(e, times, at);
        }
        t.present[part] = {e.present_at.back(), e.uncleared};
    }
    std::map<part_list, std::vector<std::uint32_t>> suspicions;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        suspected_crash s{crashes[i]->engine, crashes[i]->at, {}};
        std::pair<std::uint32_t, bool> heaviest{0, false};
        for (const part_id p : parts[i]) {
            const evidence& e = by_part[p];
            if (is_cleared(e, s.at) || has_common_cause(e, times, s.at)) {
                continue;
            }
            if (weight_of(e) > heaviest) {
                heaviest = weight_of(e);
                s.blamed.clear();
            }
            if (weight_of(e) == heaviest) {
                s.blamed.push_back(p);
            }
        }
        if (s.blamed.empty()) {
            continue;
        }
        const auto index = static_cast<std::uint32_t>(t.suspected.size());
        for (const part_list& list : crashes[i]->unanswered) {
            part_list blamed = common_parts(list, s.blamed);
            if (blamed.empty()) {
                continue;
            }
            std::vector<std::uint32_t>& indexes = suspicions[std::move(blamed)];
            if (indexes.empty() || indexes.back() != index) {
                indexes.push_back(index);
            }
        }
        t.suspected.push_back(std::move(s));
    }
    for (auto& [list, indexes] : suspicions) {
        std::uint32_t severity = std::numeric_limits<std::uint32_t>::max();
        for (const part_id p : list) {
            severity = std::min(severity, by_part[p].uncleared);
        }
        t.suspicions.push_back({list, std::move(indexes), severity});
    }
}

// --- Proofs

// True if others should learn of an answer at `at`, after the one at `published_at`: they know none
// that is about as recent, or later than the crash.
bool is_news(time_point at, time_point published_at, time_point crash) {
    if (at <= published_at) {
        return false;
    }
    const bool is_recent = at - published_at < proof_publish_interval;
    return !is_recent || (crash < at && crash >= published_at);
}

// Makes the proof visible to `proofs_since` if its part was present at a crash.
void publish(table& t, proof_entry& e) {
    const auto present = t.present.find(e.known.part);
    if (present == t.present.end()) {
        return;
    }
    const time_point crash = present->second.latest;
    if (is_news(e.known.at, e.published.at, crash) ||
        is_news(e.known.whole_at, e.published.whole_at, crash)) {
        e.published = e.known;
        e.revision = ++t.revision;
    }
}

// What a command changed.
struct change {
    bool any = false;
    // True if update_suspicions is needed.
    bool evidence = false;
};

void store_proof(table& t, const proof& p, change& c) {
    const auto found = t.proof_index.find(p.part);
    if (found != t.proof_index.end()) {
        proof& known = found->second->known;
        if (known.at >= p.at && known.whole_at >= p.whole_at &&
            known.whole_sent_at >= p.whole_sent_at) {
            return;
        }
        known.at = std::max(known.at, p.at);
        known.whole_at = std::max(known.whole_at, p.whole_at);
        known.whole_sent_at = std::max(known.whole_sent_at, p.whole_sent_at);
        t.proofs.splice(t.proofs.begin(), t.proofs, found->second);
    } else {
        t.proofs.push_front({p, {p.part, {}, {}, {}}, 0});
        t.proof_index[p.part] = t.proofs.begin();
        if (t.proofs.size() > max_proofs) {
            t.proof_index.erase(t.proofs.back().known.part);
            t.proofs.pop_back();
        }
    }
    c.any = true;
    publish(t, t.proofs.front());
    // A later answer on a part that is cleared already changes nothing.
    const auto present = t.present.find(p.part);
    c.evidence |= t.awaits_answers || (present != t.present.end() && present->second.uncleared > 0);
}

// --- Crashes

void store_changed(table& t, crash_record& r, change& c) {
    r.revision = ++t.revision;
    c = {true, true};
}

void remove_oldest_crashes(table& t) {
    while (t.crashes.size() > max_crashes) {
        t.crashes.erase(
            std::min_element(t.crashes.begin(), t.crashes.end(), [](const auto& a, const auto& b) {
                return std::tie(a.second.at, a.first) < std::tie(b.second.at, b.first);
            }));
    }
}

void merge_crash(table& t, const crash_record& r, change& c) {
    crash_record incoming{r.engine, r.episode, r.at, {}, r.refuted, 0};
    for (const part_list& list : r.unanswered) {
        add_list(incoming, normalized(list));
    }
    if (incoming.unanswered.empty()) {
        return;
    }
    const auto [at, inserted] = t.crashes.try_emplace(r.engine, incoming);
    crash_record& known = at->second;
    if (inserted) {
        store_changed(t, known, c);
        return;
    }
    if (incoming.episode < known.episode) {
        return;
    }
    if (incoming.episode > known.episode) {
        known = std::move(incoming);
        store_changed(t, known, c);
        return;
    }
    bool changed = false;
    for (const part_list& list : incoming.unanswered) {
        changed |= add_list(known, list);
    }
    if (incoming.at < known.at) {
        known.at = incoming.at;
        changed = true;
    }
    if (incoming.refuted && !known.refuted) {
        known.refuted = true;
        changed = true;
    }
    if (changed) {
        store_changed(t, known, c);
    }
}

// An engine that answers a request sent at `sent_at` has not crashed shortly before.
void refute(table& t, const incarnation& engine, time_point sent_at, change& c) {
    const auto found = t.crashes.find(engine);
    if (found != t.crashes.end() && !found->second.refuted && sent_at > found->second.at &&
        sent_at - found->second.at <= refutation_window) {
        found->second.refuted = true;
        store_changed(t, found->second, c);
    }
}

// True if crashes with this part, some time apart, follow its last answer.
bool has_crashed_since_answer(const table& t, part_id part) {
    const auto answer = t.proof_index.find(part);
    std::optional<time_point> first;
    std::optional<time_point> last;
    for (const auto& [engine, r] : t.crashes) {
        if (r.refuted || (answer != t.proof_index.end() && answer->second->known.at > r.at) ||
            std::none_of(r.unanswered.begin(), r.unanswered.end(), [&](const part_list& parts) {
                return std::binary_search(parts.begin(), parts.end(), part);
            })) {
            continue;
        }
        first = std::min(first.value_or(r.at), r.at);
        last = std::max(last.value_or(r.at), r.at);
    }
    return first && *last - *first >= same_moment;
}

// Completes a command.
bool finish(table& t, const change& c) {
    if (c.evidence) {
        remove_oldest_crashes(t);
        update_suspicions(t);
        for (const auto& [part, known] : t.present) {
            const auto found = t.proof_index.find(part);
            if (found != t.proof_index.end()) {
                publish(t, *found->second);
            }
        }
    }
    return c.any;
}

}  // namespace

part_list shared_parts(const dispatch::work& w) {
    part_list out;
    for (std::size_t i = 0; i + 1 < w.parts.size() && i < max_parts; ++i) {
        out.push_back(w.parts[i].id);
    }
    return normalized(std::move(out));
}

verdict judge(const table& t, const part_list& parts, time_point now) {
    std::vector<std::uint32_t> crashes;
    std::uint32_t severity = 0;
    verdict v;
    for (const suspicion& s : t.suspicions) {
        if (includes(parts, s.parts)) {
            crashes.insert(crashes.end(), s.crashes.begin(), s.crashes.end());
            v.parts.insert(v.parts.end(), s.parts.begin(), s.parts.end());
            severity = std::max(severity, s.severity);
        }
    }
    if (crashes.empty()) {
        return v;
    }
    std::sort(crashes.begin(), crashes.end());
    crashes.erase(std::unique(crashes.begin(), crashes.end()), crashes.end());
    v.crashes = static_cast<std::uint32_t>(crashes.size());
    v.parts = normalized(std::move(v.parts));
    if (v.crashes < min_crashes_to_quarantine) {
        return v;
    }
    severity = std::max(severity, v.crashes);
    const std::size_t step =
        std::min<std::size_t>(severity - min_crashes_to_quarantine, quarantine_times.size() - 1);
    const time_point until = t.suspected[crashes.back()].at + quarantine_times[step];
    v.remaining = std::max(duration{}, until - now);
    v.quarantined = v.remaining > duration{};
    return v;
}

bool may_be_cause(const table& t, const incarnation& engine, const part_list& parts,
                  duration written_for, time_point now) {
    const auto record = t.crashes.find(engine);
    if (record == t.crashes.end()) {
        return std::any_of(parts.begin(), parts.end(), [&](part_id p) {
            const auto found = t.proof_index.find(p);
            return found == t.proof_index.end() || now - found->second->known.at > proof_validity;
        });
    }
    if (record->second.refuted) {
        return false;
    }
    const bool blamed =
        std::any_of(t.suspected.begin(), t.suspected.end(), [&](const suspected_crash& s) {
            return s.engine == engine && !common_parts(s.blamed, parts).empty();
        });
    return (blamed && written_for < min_progress) ||
           std::any_of(parts.begin(), parts.end(),
                       [&](part_id p) { return has_crashed_since_answer(t, p); });
}

std::vector<crash_record> changed_since(const table& t, std::uint64_t revision) {
    std::vector<crash_record> out;
    for (const auto& [engine, r] : t.crashes) {
        if (r.revision > revision) {
            out.push_back(r);
        }
    }
    return out;
}

std::vector<proof> proofs_since(const table& t, std::uint64_t revision) {
    std::vector<proof> out;
    for (const auto& [part, known] : t.present) {
        const auto found = t.proof_index.find(part);
        if (found != t.proof_index.end() && found->second->revision > revision) {
            out.push_back(found->second->known);
        }
    }
    return out;
}

void record_crash(table& t, const incarnation& engine, const part_list& parts, time_point now) {
    if (parts.empty()) {
        return;
    }
    const auto [at, inserted] = t.crashes.try_emplace(engine);
    crash_record& r = at->second;
    bool changed = inserted;
    if (inserted) {
        r.engine = engine;
        r.at = now;
    } else if (r.refuted) {
        r = {engine, r.episode + 1, now, {}, false, 0};
        changed = true;
    }
    changed |= add_list(r, normalized(parts));
    if (changed) {
        change c;
        store_changed(t, r, c);
        finish(t, c);
    }
}

void record_event(table& t, const incarnation& engine, time_point sent_at) {
    change c;
    refute(t, engine, sent_at, c);
    finish(t, c);
}

void record_progress(table& t, const incarnation& engine, const part_list& parts,
                     time_point sent_at) {
    change c;
    refute(t, engine, sent_at, c);
    for (const part_id p : parts) {
        store_proof(t, {p, sent_at, {}, {}}, c);
    }
    finish(t, c);
}

void record_answer(table& t, const incarnation& engine, const part_list& parts, time_point sent_at,
                   time_point now) {
    change c;
    refute(t, engine, sent_at, c);
    for (const part_id p : parts) {
        store_proof(t, {p, now, now, sent_at}, c);
    }
    finish(t, c);
}

bool merge(table& t, const crash_record& r) {
    change c;
    merge_crash(t, r, c);
    return finish(t, c) && t.crashes.contains(r.engine);
}

bool merge(table& t, const proof& p) {
    change c;
    store_proof(t, p, c);
    return finish(t, c);
}

bool merge(table& t, const std::vector<crash_record>& crashes, const std::vector<proof>& proofs) {
    change c;
    for (const crash_record& r : crashes) {
        merge_crash(t, r, c);
    }
    for (const proof& p : proofs) {
        store_proof(t, p, c);
    }
    return finish(t, c);
}

void expire(table& t, time_point now) {
    const std::size_t removed =
        std::erase_if(t.crashes, [&](const auto& c) { return now - c.second.at > crash_lifetime; });
    if (removed > 0) {
        update_suspicions(t);
    }
}

}  // namespace burdockdeck::quarantine
