// Finds prompt parts that crash engines, and decides which requests to refuse because of them.
// Every gateway keeps one table; tables are merged with those of the other gateways. A part is
// suspected by the crashes that it was present at, and cleared by the answers that engines wrote on
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "dispatch/upstream.h"

namespace burdockdeck::quarantine {

// --- Bounds of a table

inline constexpr std::size_t max_crashes = 256;
// Distinct part lists of one crash.
inline constexpr std::size_t max_lists = 64;
inline constexpr std::size_t max_parts = 16;
inline constexpr std::size_t max_proofs = 8192;

// A deadly request ends most engines within this time after the first event of its answer; one that
// goes on for longer counts for the parts of its prompt, though less than a complete answer.
inline constexpr duration min_progress = std::chrono::seconds(1);

// The id of a prompt part, as in `dispatch::prompt_part`.
using part_id = std::uint64_t;

// The shared parts of a request: all but the last. Sorted, unique, at most `max_parts`.
using part_list = std::vector<part_id>;

// One start of an engine.
struct incarnation {
    std::string upstream;
    std::uint64_t born_ms = 0;
    bool operator==(const incarnation&) const = default;
};

inline bool operator<(const incarnation& a, const incarnation& b) {
    return std::tie(a.upstream, a.born_ms) < std::tie(b.upstream, b.born_ms);
}

// One crash, however many requests it ended.
// Invariant: `unanswered` is sorted and unique, at most `max_lists`, and no list is empty.
struct crash_record {
    incarnation engine;
    // Rises when the incarnation is believed to have crashed again after a refuted crash.
    std::uint32_t episode = 0;
    // When the first gateway noticed it.
    time_point at{};
    // The shared parts of the requests that the engine had not answered completely.
    std::vector<part_list> unanswered;
    // True once the incarnation has answered a request that was sent after `at`.
    bool refuted = false;
    // The revision of this table that last changed the record; not meaningful to other tables.
    std::uint64_t revision = 0;
};

// The latest times at which engines answered requests with this part; the epoch if they did not.
// Invariant: whole_sent_at <= whole_at <= at.
struct proof {
    part_id part = 0;
    // When a request was sent whose answer went on for `min_progress`, or when an answer was
    // complete.
    time_point at{};
    // When an answer was complete, and when a request was sent whose answer was.
    time_point whole_at{};
    time_point whole_sent_at{};
};

struct proof_entry {
    proof known;
    // What `proofs_since` last reported; the epoch if the part has been in no crash.
    proof published;
    std::uint64_t revision = 0;
};

// The latest of the unrefuted crashes that a part was present at, and the number of those of them
// that no answer clears it of.
struct presence {
    time_point latest{};
    std::uint32_t uncleared = 0;
};

// A crash and the parts that explain it best.
struct suspected_crash {
    incarnation engine;
    time_point at{};
    part_list blamed;
};

// Parts of one request that are blamed together: only requests that have all of them are suspected.
struct suspicion {
    part_list parts;
    // Indexes in `suspected`, ascending.
    std::vector<std::uint32_t> crashes;
    // Crashes that no answer clears any of the parts of, also those that others explain better.
    std::uint32_t severity = 0;
};

// Invariants: at most `max_crashes` crashes and `max_proofs` proofs, the last updated first in
// `proofs`; `proof_index` maps each part to its element; `present`, `suspected`, `suspicions`
// and `awaits_answers` are functions of crashes and proofs.
struct table {
    std::map<incarnation, crash_record> crashes;
    std::list<proof_entry> proofs;
    std::unordered_map<part_id, std::list<proof_entry>::iterator> proof_index;
    std::unordered_map<part_id, presence> present;
    std::vector<suspected_crash> suspected;
    std::vector<suspicion> suspicions;
    // True if answers on any parts may add to the suspicions.
    bool awaits_answers = false;
    // Rises with each change that other tables need to know.
    std::uint64_t revision = 0;

    table() = default;
    ~table() = default;
    // `proof_index` points into `proofs`.
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    table(table&&) = default;
    table& operator=(table&&) = default;
};

struct verdict {
    bool quarantined = false;
    // Crashes that the request's parts are blamed for.
    std::uint32_t crashes = 0;
    // Time until the parts are tried again; positive only if quarantined.
    duration remaining{};
    // The parts that decided it.
    part_list parts;
};

// --- Queries

// The shared parts of `w`; empty if the request shares nothing.
[[nodiscard]] part_list shared_parts(const dispatch::work& w);

// Whether a request with `parts` is to be refused now.
[[nodiscard]] verdict judge(const table& t, const part_list& parts, time_point now);

// True if a request with `parts` that `engine` had not answered completely may have crashed it, so
// that it must not be sent to another engine; `written_for` is the time since the first event of
// its answer, zero without one. Call record_crash first.
[[nodiscard]] bool may_be_cause(const table& t, const incarnation& engine, const part_list& parts,
                                duration written_for, time_point now);

// The crashes that changed after `revision`, for other tables.
[[nodiscard]] std::vector<crash_record> changed_since(const table& t, std::uint64_t revision);

// The proofs that changed after `revision`, for other tables: only for parts of unrefuted crashes,
// and not every answer.
[[nodiscard]] std::vector<proof> proofs_since(const table& t, std::uint64_t revision);

// --- Commands

// A request ended because `engine` crashed before its answer was complete. All such requests of one
// incarnation make one crash. A request without shared parts is not recorded.
void record_crash(table& t, const incarnation& engine, const part_list& parts, time_point now);

// `engine` sent an event of its answer to a request sent at `sent_at`: it has not crashed. It may
// still do so while it writes this answer.
void record_event(table& t, const incarnation& engine, time_point sent_at);

// `engine` has written an answer to a request sent at `sent_at` for `min_progress` or longer.
void record_progress(table& t, const incarnation& engine, const part_list& parts,
                     time_point sent_at);

// `engine` sent its whole answer to a request sent at `sent_at`. Refusals and errors are no proof.
void record_answer(table& t, const incarnation& engine, const part_list& parts, time_point sent_at,
                   time_point now);

// Adds what another table knows; `at` is in the time of this process. Idempotent and commutative;
// true if something changed.
bool merge(table& t, const crash_record& r);
bool merge(table& t, const proof& p);
// The same for many at once, which takes less time.
bool merge(table& t, const std::vector<crash_record>& crashes, const std::vector<proof>& proofs);

// Forgets crashes that no longer matter.
void expire(table& t, time_point now);

}  // namespace burdockdeck::quarantine
