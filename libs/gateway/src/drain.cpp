// Compares the longest expected duration of a stream with the rest of the grace time.
#include "drain.h"

namespace burdockdeck::gateway {

namespace {

// Time assumed per output token at an engine that also reads long prompts. An event of four tokens
// takes about 120 ms there.
constexpr duration slow_token_time = std::chrono::milliseconds(25);
// Part of the grace time reserved for processing the prompt and sending the last bytes.
constexpr duration drain_reserve = std::chrono::milliseconds(1500);
// Requests that arrive later than this after the stop signal are refused whatever their length: two
// readiness checks of the platform have failed within this time.
constexpr duration drain_intake_period = std::chrono::milliseconds(2200);

}  // namespace

bool may_outlast_drain(duration since_stop, duration grace, std::uint32_t output_tokens) {
    return since_stop > drain_intake_period ||
           slow_token_time * output_tokens > grace - drain_reserve - since_stop;
}

}  // namespace burdockdeck::gateway
