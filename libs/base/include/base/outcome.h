// The outcome of a request as reported to the caller: `not_run` only if it is certain that the
// request has not started and will not start; `unknown` if neither `not_run` nor `completed` is
// certain.
#pragma once

#include <string_view>

#include "base/name_table.h"

namespace burdockdeck {

enum class outcome { completed, not_run, unknown };

inline constexpr name_table<outcome, 3> outcome_names{{
    {outcome::completed, "completed"},
    {outcome::not_run, "not_run"},
    {outcome::unknown, "unknown"},
}};

// The printable name of `o`.
[[nodiscard]] constexpr std::string_view name_of(outcome o) {
    return name_in(outcome_names, o);
}

}  // namespace burdockdeck
