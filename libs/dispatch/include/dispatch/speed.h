// How fast engines read prompts of each model, learnt from first events of prompts whose unread
// part is known. Larger models run slower; nothing announces by how much.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace burdockdeck::dispatch {

// Prompt tokens read in a millisecond, by model.
struct model_speeds {
    std::map<std::string, double, std::less<>> tokens_per_ms;
};

// --- Queries

// The learnt speed, or `otherwise` if none was learnt.
[[nodiscard]] double speed_of(const model_speeds& s, std::string_view model, double otherwise);

// --- Commands

// Takes one prompt into account: `tokens` were read by a free engine, with the first event after
// `first_event_ms`. Slow moments of an engine count little; `usual` is where learning begins.
void record_read_sample(model_speeds& s, const std::string& model, double tokens,
                        double first_event_ms, double usual);

}  // namespace burdockdeck::dispatch
