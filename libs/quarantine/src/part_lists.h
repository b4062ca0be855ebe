// Lists of prompt parts and their order in a crash record.
#pragma once

#include "quarantine/quarantine.h"

namespace burdockdeck::quarantine {

// --- Queries; lists are sorted and unique

[[nodiscard]] bool includes(const part_list& all, const part_list& wanted);
[[nodiscard]] part_list common_parts(const part_list& a, const part_list& b);
// Sorted, unique, at most `max_parts`.
[[nodiscard]] part_list normalized(part_list parts);
// The parts of all lists of `r`.
[[nodiscard]] part_list parts_of(const crash_record& r);

// --- Commands

// Adds a list and keeps the `max_lists` of lowest rank, so that the result does not depend on the
// order of additions. True if the record changed.
bool add_list(crash_record& r, const part_list& parts);

}  // namespace burdockdeck::quarantine
