// A caller's request after parsing: what to run, at which target, and the deadline.
#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "catalog.pb.h"
#include "entry/settings.h"
#include "runtime/http.h"
#include "runtime/trace.h"
#include "services.pb.h"

namespace burdockdeck::entry {

struct work {
    std::string request_id;
    rpc::work_kind kind = rpc::work_completion;
    // Name of the model or service.
    std::string target;
    std::string adapter;
    std::string method;
    // Request path at the upstream.
    std::string path;
    std::string content_type;
    std::string body;
    bool stream = false;
    bool idempotent = true;
    // Idempotency key, prefixed with the service name; empty for idempotent work. The caller may
    // repeat non-idempotent work under its key.
    std::string key;
    schema::work_priority priority = schema::priority_normal;
    std::uint32_t max_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    time_point received{};
    time_point deadline{};
    std::int64_t received_wall_ns = 0;
    runtime::trace_context span;
    std::string parent_span;
};

// Why a request was refused before any attempt.
struct refusal {
    unsigned status = 400;
    std::string message;
    // Sent as Retry-After; zero if a retry cannot succeed.
    duration retry_after{};
};

// The document in force at an entry, and when control last confirmed that it is the newest.
struct confirmed_document {
    const schema::document& in_force;
    time_point confirmed_at{};
};

// A document that was last confirmed longer ago than this may be outdated: control sends at least
// one update per second, and an entry closes a watch without updates for 2.5 s.
inline constexpr duration confirmation_validity = std::chrono::milliseconds(2500);

// Parses a request and resolves its target in the document in force. Starts no attempt.
[[nodiscard]] result<work, refusal> parse_request(const runtime::http_request& request,
                                                  const confirmed_document& confirmed,
                                                  const entry_settings& settings, time_point now);

// The caller's request id, or a random one if the header is missing or malformed.
[[nodiscard]] std::string request_id_of(const runtime::http_request& request);

}  // namespace burdockdeck::entry
