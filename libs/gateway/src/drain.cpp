// Worst expected lengths of streams against the grace time.
#include "drain.h"

namespace burdockdeck::gateway {

namespace {

// Time of an output token at an engine that reads long prompts between them: 120 ms were measured
// for an event of four tokens.
constexpr duration slow_token = std::chrono::milliseconds(25);
// What the grace time must hold beside the longest stream: the prompt's reading and the last bytes.
constexpr duration drain_reserve = std::chrono::milliseconds(1500);
// Requests that arrive this long after the signal are left to others, whatever their length: by
// then the platform has had two questions answered with no.
constexpr duration late_drain = std::chrono::milliseconds(2200);

}  // namespace

bool outlasts_drain(duration since, duration grace, std::uint32_t output_tokens) {
    return since > late_drain || slow_token * output_tokens > grace - drain_reserve - since;
}

}  // namespace burdockdeck::gateway
