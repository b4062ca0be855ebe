// The routes, services and limits configured by operators: decoded form, validation and look-up.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/name_table.h"
#include "base/result.h"
#include "base/time.h"

namespace burdockdeck::deployment {

// Whether a request of a route may be sent again.
enum class repeatability { idempotent, non_idempotent, streaming };

inline constexpr name_table<repeatability, 3> repeatability_names{{
    {repeatability::idempotent, "idempotent"},
    {repeatability::non_idempotent, "non_idempotent"},
    {repeatability::streaming, "streaming"},
}};

struct weighted_service {
    std::string service;
    double weight = 0;
};

// Invariants: `prefix` begins and ends with a slash; `services` is not empty and its weights sum to
// more than 0.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    repeatability kind = repeatability::idempotent;
    // Maximum time for which a request waits for its answer.
    duration timeout{};
    // Target time to the answer; for streams, to the first event.
    duration latency_objective{};
    // Target for the longest gap between two events of a stream.
    duration max_event_gap{};
    // A caller abandons a stream that is silent for longer than this, also before its first event;
    // zero if unknown.
    duration caller_silence_timeout{};
    // 0 is the highest priority.
    std::uint32_t priority = 0;
    // Number of upstreams that one request of a caller may be sent to.
    std::uint32_t attempt_limit = 1;
    bool resumable = false;
    std::vector<weighted_service> services;
};

struct model_spec {
    std::string name;
    double weights_mb = 0;
    std::uint32_t adapters = 0;
    double adapter_mb = 0;
    // Load times of the weights from the weight store, the host's disk and the host's memory.
    duration store_load{};
    duration disk_load{};
    duration memory_load{};
};

// Sizes of one engine of a service. `slots` is 0 for a service without engines.
struct engine_spec {
    std::uint32_t slots = 0;
    std::uint64_t kv_tokens = 0;
    double weights_mb = 0;
    std::uint32_t max_adapters = 0;
    // Loads per second from the weight store, over all engines of the service.
    double store_loads_per_s = 0;
    std::vector<model_spec> models;
};

struct service_spec {
    std::string name;
    std::string health_path;
    // Connections that one upstream accepts from all its callers together.
    std::uint32_t max_connections = 0;
    engine_spec engine;
};

// Size and time limits for the requests of callers.
struct caller_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

// Version 0: no deployment is in force.
struct site {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_spec> services;
    caller_limits limits;
};

struct deployment_error {
    std::string message;
};

// --- Queries

// Validates a deployment: rejects unknown services, duplicate routes or services, weights that sum
// to zero, and zero timeouts.
[[nodiscard]] result<nothing, deployment_error> check(const site& s);
// The route of `host` with the longest prefix of `path`; null if there is none. `host` is
// case-insensitive and may include a port.
[[nodiscard]] const route* match(const site& s, std::string_view host, std::string_view path);
// Weighted choice among the route's services. `draw` is a random number in [0, 1).
[[nodiscard]] const std::string& service_of(const route& r, double draw);
[[nodiscard]] const service_spec* find_service(const site& s, std::string_view name);
[[nodiscard]] const model_spec* find_model(const engine_spec& e, std::string_view name);

}  // namespace burdockdeck::deployment
