// Estimates the prompt-reading speed of each model from the time to the first event of prompts
// whose uncached token count is known. Larger models are slower, and no announcement carries the
// speed.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace burdockdeck::dispatch {

// Prompt tokens read per millisecond, by model.
struct model_speeds {
    std::map<std::string, double, std::less<>> tokens_per_ms;
};

// --- Queries

// The estimated speed, or `default_speed` if there is no sample for the model.
[[nodiscard]] double speed_of(const model_speeds& s, std::string_view model, double default_speed);

// --- Commands

// Adds one sample: an idle engine read `tokens` and sent the first event after `first_event_ms`.
// Samples from an engine that was temporarily slow have little or no weight. `initial_speed` is the
// estimate before the first sample.
void record_read_sample(model_speeds& s, const std::string& model, double tokens,
                        double first_event_ms, double initial_speed);

}  // namespace burdockdeck::dispatch
