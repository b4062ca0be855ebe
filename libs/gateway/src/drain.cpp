// Compares the longest expected duration of a request with the rest of the grace time.
#include "drain.h"

#include "core.h"
#include "request_state.h"

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

bool may_outlast_drain(duration since_stop, duration grace, std::uint32_t output_tokens,
                       duration call_timeout) {
    const duration longest =
        output_tokens == 0 ? call_timeout : duration(slow_token_time * output_tokens);
    return since_stop > drain_intake_period || longest > grace - drain_reserve - since_stop;
}

void end_unanswered_requests(core& c, time_point now) {
    c.ending = true;
    for (const std::weak_ptr<request_state>& weak_request : c.open_requests) {
        const std::shared_ptr<request_state> r = weak_request.lock();
        if (r != nullptr && r->current != nullptr && !r->head_sent && r->awaits_upstream) {
            record_ending(*r, cut_cause::grace_ended, "", now);
            close_successor(*r);
            r->current->abort();
        }
    }
}

}  // namespace burdockdeck::gateway
