// Compares the longest expected duration of a stream with the rest of the grace time.
#include "drain.h"

namespace burdockdeck::gateway {

namespace {

// Assumed time per output token at an engine that also processes long prompts. Measured there:
// 120 ms for an event of four tokens, that is 30 ms per token.
constexpr duration worst_token_time = std::chrono::milliseconds(25);
// Part of the grace time reserved for processing the prompt and sending the last bytes.
constexpr duration drain_reserve = std::chrono::milliseconds(1500);
// Requests that arrive later than this after the stop signal are refused whatever their length: two
// readiness checks of the platform have failed within this time.
constexpr duration drain_intake_period = std::chrono::milliseconds(2200);

}  // namespace

bool may_outlast_drain(duration since_stop, duration grace, std::uint32_t output_tokens) {
    return since_stop > drain_intake_period ||
           worst_token_time * output_tokens > grace - drain_reserve - since_stop;
}

}  // namespace burdockdeck::gateway
