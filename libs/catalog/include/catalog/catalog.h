// The replicated state machine: deterministic changes to the fleet's state, and what subscribers
// see of it. Every control instance applies the same commands in the same order.
#pragma once

#include <cstdint>
#include <string>

#include "catalog.pb.h"

namespace burdockdeck::catalog {

// How many answers to operators' commands, labels and proofs are kept, oldest dropped first.
inline constexpr int max_kept_records = 4096;
// A larger answer to keyed work is stored without its body, marked as truncated.
inline constexpr std::size_t max_stored_answer_bytes = 64 * 1024;

// Test-only departures, to show that the checks can fail.
enum class mutation { none, skip_base_check, run_key_again };

// Applies one committed command. Depends on nothing but its arguments.
[[nodiscard]] schema::command_reply apply(schema::catalog_state& state,
                                          const schema::command& command,
                                          mutation broken = mutation::none);

// True if the agent takes new work: live, not leaving by itself and not drained by an operator.
[[nodiscard]] bool in_service(const schema::agent_record& agent);

// The changes after `known_revision`, or the whole table if that is zero or above the state's.
[[nodiscard]] schema::table_update table_since(const schema::catalog_state& state,
                                               const std::string& cluster,
                                               std::uint64_t known_revision);

}  // namespace burdockdeck::catalog
