// Asymmetric smoothing: fast samples have more weight than slow ones.
#include "dispatch/speed.h"

#include <algorithm>

namespace burdockdeck::dispatch {

namespace {

// Part of the time to the first event that is not prompt reading: network and first decoding step.
constexpr double overhead_ms = 7;
constexpr double max_tokens_per_ms = 400;
// A sample below this share of the current estimate is ignored: it shows a busy or slow engine, not
// the model's speed.
constexpr double min_sample_ratio = 0.6;
constexpr double faster_smoothing = 0.4;
constexpr double slower_smoothing = 0.05;

}  // namespace

double speed_of(const model_speeds& s, std::string_view model, double default_speed) {
    const auto found = s.tokens_per_ms.find(model);
    return found == s.tokens_per_ms.end() ? default_speed : found->second;
}

void record_read_sample(model_speeds& s, const std::string& model, double tokens,
                        double first_event_ms, double initial_speed) {
    const auto [known, inserted] = s.tokens_per_ms.try_emplace(model, initial_speed);
    const double sample =
        std::min(tokens / std::max(1.0, first_event_ms - overhead_ms), max_tokens_per_ms);
    if (sample < min_sample_ratio * known->second) {
        return;
    }
    const double smoothing = sample > known->second ? faster_smoothing : slower_smoothing;
    known->second += smoothing * (sample - known->second);
}

}  // namespace burdockdeck::dispatch
