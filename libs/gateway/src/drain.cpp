// Worst expected lengths of streams against the grace time.
#include "drain.h"

namespace burdockdeck::gateway {

namespace {

// Time of an output token at an engine that reads long prompts between them: 120 ms were measured
// for an event of four tokens.
constexpr duration worst_token_time = std::chrono::milliseconds(25);
// What the grace time must hold beside the longest stream: the prompt's reading and the last bytes.
constexpr duration drain_reserve = std::chrono::milliseconds(1500);
// Requests that arrive this long after the signal are left to others, whatever their length: by
// then the platform has had two questions answered with no.
constexpr duration drain_intake_period = std::chrono::milliseconds(2200);

}  // namespace

bool may_outlast_drain(duration since_stop, duration grace, std::uint32_t output_tokens) {
    return since_stop > drain_intake_period ||
           worst_token_time * output_tokens > grace - drain_reserve - since_stop;
}

}  // namespace burdockdeck::gateway
