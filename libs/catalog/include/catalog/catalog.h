// The replicated state machine of the fleet: applies committed commands deterministically, and
// builds the table updates for subscribers. Every control instance applies the same commands in the
// same order.
#pragma once

#include <cstdint>
#include <string>

#include "catalog.pb.h"

namespace burdockdeck::catalog {

// Maximum number of records kept each of operations, labels and proofs; the oldest are dropped
// first.
inline constexpr int max_kept_records = 4096;
// Maximum number of software versions kept for one service.
inline constexpr int max_software_versions = 16;
// Larger answers to keyed work are stored without their body and marked as truncated.
inline constexpr std::size_t max_stored_answer_bytes = 64 * 1024;

// Faults that only tests inject, to show that their checks detect them.
enum class mutation { none, skip_base_check, allow_duplicate_claims };

// Applies one committed command. The result depends only on the arguments.
[[nodiscard]] schema::command_reply apply(schema::catalog_state& state,
                                          const schema::command& command,
                                          mutation injected = mutation::none);

// True if the agent takes new work: it is live, not leaving, and not drained by an operator.
[[nodiscard]] bool in_service(const schema::agent_record& agent);

// The changes since `known_revision`, or the whole table if that is zero or above the state's
// revision.
[[nodiscard]] schema::table_update table_since(const schema::catalog_state& state,
                                               const std::string& cluster,
                                               std::uint64_t known_revision);

}  // namespace burdockdeck::catalog
