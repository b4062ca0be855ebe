// Decides what happens to a request whose model no upstream holds. It is held only while a load is
// under way that ends before its caller leaves; otherwise it is rejected at once, with the time
// until the model can serve.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "dispatch/choice.h"

namespace burdockdeck::dispatch {

// What is known of the return of a model.
struct model_return {
    // The end of the load that is under way; empty if none is known.
    std::optional<time_point> expected_at;
    // Duration of a load that is decided now.
    duration load_estimate{};
};

struct absence_decision {
    bool hold = false;
    // Time after which the model is expected to serve.
    duration retry_after{};
};

// --- Queries

// True if upstreams of the service accept requests, but none that does holds the model.
[[nodiscard]] bool is_model_absent(const std::vector<upstream*>& all, const request_view& r,
                                   time_point now);
// The duration of a load that is decided now: from the nearest place that has the weights.
// `from_store` is the duration of a load from the weight store.
[[nodiscard]] duration estimate_load(const std::vector<upstream*>& all, const std::string& model,
                                     duration from_memory, duration from_disk, duration from_store);
// `patience` is the time until the caller leaves, or until its request can no longer be served;
// `waited` is how long the request has been here. While the planner may not have answered its
// demand yet, a load that would end in time counts as under way.
[[nodiscard]] absence_decision decide_absence(const model_return& m, duration patience,
                                              duration waited, time_point now);

}  // namespace burdockdeck::dispatch
