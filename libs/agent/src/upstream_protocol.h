// The HTTP protocol between an agent and its upstream: announcements, inventory, orders, requests.
// Only this module depends on the format, so that it can be replaced for another engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "catalog.pb.h"
#include "runtime/http.h"
#include "services.pb.h"
#include "settings/common.h"

namespace burdockdeck::agent {

struct protocol_error {
    std::string message;
};

// Kind, address and capacity of an upstream, as it announces them.
struct announcement {
    schema::upstream_kind kind = schema::upstream_engine;
    std::string service;
    settings::endpoint address;
    std::uint32_t memory_mb = 0;
    std::uint32_t slots = 1;
    // True if the engine refuses orders with an old fencing token.
    bool refuses_old_fences = false;
    bool operator==(const announcement& other) const;
};

// One model in the engine's inventory.
struct loaded_model {
    std::string model;
    std::string version;
    std::uint32_t memory_mb = 0;
    bool loading = false;
};

enum class order_action { load, unload };

struct order {
    order_action action = order_action::load;
    std::string model;
    std::string version;
    std::uint32_t memory_mb = 0;
    std::uint64_t fence = 0;
};

// done and refused are final; an unanswered order may still be executed.
enum class order_result { done, refused, unanswered };

[[nodiscard]] result<announcement, protocol_error> parse_announcement(const std::string& body);
[[nodiscard]] runtime::http_request inventory_request();
[[nodiscard]] result<std::vector<loaded_model>, protocol_error> parse_inventory(
    const std::string& body);
[[nodiscard]] runtime::http_request health_request();
[[nodiscard]] runtime::http_request order_request(const order& o);
[[nodiscard]] order_result classify_order(
    const result<runtime::http_response, runtime::http_error>& answer);
// The request to send to the upstream. With `resume`, the stream of the same attempt continues
// after the first `resume_events` events.
[[nodiscard]] runtime::http_request work_request(const rpc::run_request& run,
                                                 const std::string& traceparent, bool resume,
                                                 std::uint64_t resume_events);
// Cancels a request at the engine; if `resumable`, it can be resumed later.
[[nodiscard]] runtime::http_request cancel_request(const std::string& attempt, bool resumable);
// True if this status means that the engine did not accept the request.
[[nodiscard]] bool engine_refused(unsigned status);

}  // namespace burdockdeck::agent
