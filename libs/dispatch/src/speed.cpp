// Smoothing that follows the fast samples.
#include "dispatch/speed.h"

#include <algorithm>

namespace burdockdeck::dispatch {

namespace {

// Time to the first event beside the reading: the network and the first step.
constexpr double fixed_ms = 7;
constexpr double fastest = 400;
// A sample slower than this share of what is known tells of a busy or slow engine, not of the
// model.
constexpr double slow_moment = 0.6;
constexpr double faster_smoothing = 0.4;
constexpr double slower_smoothing = 0.05;

}  // namespace

double speed_of(const model_speeds& s, std::string_view model, double otherwise) {
    const auto found = s.tokens_per_ms.find(model);
    return found == s.tokens_per_ms.end() ? otherwise : found->second;
}

void record_read_sample(model_speeds& s, const std::string& model, double tokens,
                        double first_event_ms, double usual) {
    const auto [known, fresh] = s.tokens_per_ms.try_emplace(model, usual);
    const double sample = std::min(tokens / std::max(1.0, first_event_ms - fixed_ms), fastest);
    if (sample < slow_moment * known->second) {
        return;
    }
    const double smoothing = sample > known->second ? faster_smoothing : slower_smoothing;
    known->second += smoothing * (sample - known->second);
}

}  // namespace burdockdeck::dispatch
