// Interface to the protocol of the engine that a sidecar serves. An implementation only encodes and
// decodes; all decisions are made in the sidecar.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace burdockdeck::sidecar {

// State of an engine, as it reports it.
struct engine_report {
    std::uint64_t born_ms = 0;
    // Loaded models and their adapters; these may include adapters in `incoming`.
    std::map<std::string, std::set<std::string>> models;
    // Adapters that are being loaded, as model and adapter.
    std::set<std::pair<std::string, std::string>> incoming;
    std::vector<std::string> in_memory;
    std::vector<std::string> on_disk;
    // True while an order to load or unload a model is being carried out.
    bool busy = false;
    // Number of orders accepted since the engine's start.
    std::uint64_t orders_accepted = 0;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    // Running requests whose prompts are still being processed, before the first event.
    std::uint32_t reading = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
    // The engine is leaving; from the answer's headers.
    bool leaving = false;
};

enum class order_action { load, unload };

struct engine_order {
    order_action action = order_action::load;
    std::string model;
    // Empty for an order about the model itself.
    std::string adapter;
    std::string holder;
    std::uint64_t fence = 0;
    // The engine refuses the order unless it has accepted exactly this number of orders before.
    std::uint64_t expected_orders = 0;
    std::string target_id;
};

struct engine_call {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class order_answer { accepted, holds_already, conflict, stale_fence, refused, other_engine };

struct protocol_error {
    std::string message;
};

struct engine_protocol {
    std::function<engine_call()> report_call;
    std::function<result<engine_report, protocol_error>(std::string_view body)> decode_report;
    // True if an answer's headers say that the engine is leaving.
    std::function<bool(const std::vector<std::pair<std::string, std::string>>&)> says_leaving;
    std::function<engine_call(const engine_order&)> order_call;
    std::function<order_answer(unsigned status)> decode_order_answer;
};

}  // namespace burdockdeck::sidecar
