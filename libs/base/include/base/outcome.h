// The three outcomes of a request. A caller is told `not_run` only if the request provably did not
// start and will not start; when neither that nor completion is known, the outcome is `unknown`.
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
