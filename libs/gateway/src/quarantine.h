// Quarantine of prompt parts that crash engines, at one gateway: records what its attempts show,
// exchanges crash news with control, and ends attempts whose prompts are quarantined.
#pragma once

#include "core.h"
#include "quarantine/quarantine.h"
#include "request_state.h"

namespace burdockdeck::gateway {

// --- Queries

// Hexadecimal ids, separated by commas.
[[nodiscard]] std::string to_text(const quarantine::part_list& parts);
// Whether `r` may be sent to an engine, or go on there, now.
[[nodiscard]] quarantine::verdict judge_request(const core& c, const request_state& r,
                                                time_point now);

// True if this gateway ended the exchange of `r` because of the prompt, which says nothing about
// the engine.
[[nodiscard]] bool is_ended_by_quarantine(const core& c, const request_state& r, const exchange& e);

// --- Commands

// The current attempt of `r` at `upstream` ended without a complete answer; see record_unanswered.
void record_broken_attempt(core& c, request_state& r, const std::string& upstream,
                           end_cause ended_by);
// A send of `r` to `engine` ended before the answer was complete, `written_for` after its first
// event. Records a crash if the upstream closed the connection without having announced its end,
// and sets `r.may_have_crashed_engine`. A reset without the head of an answer is no crash:
// upstreams reset connections beyond their limit.
void record_unanswered(core& c, request_state& r, const quarantine::incarnation& engine,
                       duration written_for, end_cause ended_by);
// An event of the answer to `r` arrived from `upstream`.
void record_event(core& c, request_state& r, const std::string& upstream, time_point now);
// The answer to `r` from `upstream` is complete.
void record_complete_answer(core& c, const request_state& r, const std::string& upstream,
                            time_point now);
// A load report of the incarnation `born_ms` at `ip` arrived: refutes a crash of it.
void record_engine_alive(core& c, const std::string& ip, std::uint64_t born_ms, time_point now);
// Merges crash news from control.
void merge_crash_news(core& c, const schema::crash_news& news, time_point now);
// Passes to control what changed since the last call, and forgets old crashes.
void share_crashes(core& c, time_point now);

}  // namespace burdockdeck::gateway
