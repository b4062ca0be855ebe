// Parses and validates callers' requests.
#include "work.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "base/text.h"
#include "document/document.h"

namespace burdockdeck::entry {

namespace {

namespace json = boost::json;

constexpr std::uint32_t default_max_tokens = 256;
constexpr std::uint32_t max_completion_tokens = 1'000'000;
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t max_key_bytes = 256;

// Control elects a new leader within about two election timeouts if a majority is reachable.
constexpr duration retry_after_election = std::chrono::milliseconds(1200);

// 404 for a model or service that the document does not declare; 503 if the document may be
// outdated.
refusal undeclared_refusal(const std::string& what, const confirmed_document& confirmed,
                           time_point now) {
    if (now - confirmed.confirmed_at <= confirmation_validity) {
        return {404, what + " is not declared", duration::zero()};
    }
    return {503, what + " is not declared, but the document here may be outdated",
            retry_after_election};
}

bool is_printable(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

result<duration, refusal> deadline_of(const runtime::http_request& r, const entry_settings& s) {
    const std::string_view text = r.header("Burdockdeck-Deadline-Ms");
    if (text.empty()) {
        return s.default_deadline;
    }
    std::int64_t ms = 0;
    const auto [end, failed] = std::from_chars(text.begin(), text.end(), ms);
    if (failed != std::errc{} || end != text.end() || ms <= 0) {
        return refusal{400, "header Burdockdeck-Deadline-Ms must be a positive integer"};
    }
    if (std::chrono::milliseconds(ms) > s.longest_deadline) {
        return refusal{400, "header Burdockdeck-Deadline-Ms exceeds the maximum deadline of " +
                                std::to_string(to_milliseconds(s.longest_deadline)) + " ms"};
    }
    return duration(std::chrono::milliseconds(ms));
}

result<schema::work_priority, refusal> priority_of(const runtime::http_request& r,
                                                   schema::work_priority fallback) {
    const std::string_view text = r.header("Burdockdeck-Priority");
    if (text.empty()) {
        return fallback;
    }
    if (text == "high") {
        return schema::priority_high;
    }
    if (text == "normal") {
        return schema::priority_normal;
    }
    if (text == "low") {
        return schema::priority_low;
    }
    return refusal{400, "header Burdockdeck-Priority must be low, normal or high"};
}

result<nothing, refusal> parse_completion(work& w, const runtime::http_request& r,
                                          const confirmed_document& confirmed, time_point now) {
    if (r.method != "POST") {
        return refusal{405, "completions must be requested with POST"};
    }
    boost::system::error_code failed;
    const json::value parsed = json::parse(r.body, failed);
    if (failed || !parsed.is_object()) {
        return refusal{400, "the body must be a JSON object: " + failed.message()};
    }
    const json::object& body = parsed.as_object();
    const json::value* model = body.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        return refusal{400, "`model` must be a string"};
    }
    const auto resolved = document::resolve(confirmed.in_force, std::string(model->as_string()));
    if (!resolved) {
        return undeclared_refusal("model `" + std::string(model->as_string()) + "`", confirmed,
                                  now);
    }
    const json::value* stream = body.if_contains("stream");
    if (stream != nullptr && !stream->is_bool()) {
        return refusal{400, "`stream` must be true or false"};
    }
    const json::value* limit = body.if_contains("max_tokens");
    w.max_tokens = default_max_tokens;
    if (limit != nullptr) {
        if (!limit->is_int64() || limit->as_int64() < 1 ||
            limit->as_int64() > max_completion_tokens) {
            return refusal{400, "`max_tokens` must be an integer from 1 to " +
                                    std::to_string(max_completion_tokens)};
        }
        w.max_tokens = static_cast<std::uint32_t>(limit->as_int64());
    }
    w.kind = rpc::work_completion;
    w.target = resolved->model->name();
    w.adapter = resolved->adapter;
    w.stream = stream != nullptr && stream->as_bool();
    w.priority = resolved->model->priority();
    w.prompt_tokens = static_cast<std::uint32_t>(r.body.size() / bytes_per_token);
    w.path = std::string(r.path());
    return nothing{};
}

result<nothing, refusal> parse_service_call(work& w, const runtime::http_request& r,
                                            const confirmed_document& confirmed, time_point now) {
    constexpr std::string_view prefix = "/services/";
    const std::string_view rest = std::string_view(r.target).substr(prefix.size());
    const std::size_t end = rest.find_first_of("/?");
    w.target = std::string(rest.substr(0, end));
    w.path = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
    if (w.path.front() != '/') {
        w.path.insert(0, "/");
    }
    const schema::service* s = document::find_service(confirmed.in_force, w.target);
    if (s == nullptr) {
        return undeclared_refusal("service `" + w.target + "`", confirmed, now);
    }
    w.kind = rpc::work_service;
    w.max_tokens = 1;
    w.idempotent = document::is_idempotent(*s, r.method, w.path.substr(0, w.path.find('?')));
    const std::string_view key = r.header("Idempotency-Key");
    if (key.size() > max_key_bytes || !is_printable(key)) {
        return refusal{
            400,
            "header Idempotency-Key must be printable ASCII without spaces, at most 256 bytes"};
    }
    if (!key.empty() && !w.idempotent) {
        w.key = w.target + "/" + std::string(key);
    }
    return nothing{};
}

}  // namespace

std::string request_id_of(const runtime::http_request& r) {
    const std::string_view id = r.header("X-Request-Id");
    if (id.empty() || id.size() > max_id_bytes || !is_printable(id)) {
        return "r-" + runtime::random_hex(16);
    }
    return std::string(id);
}

result<work, refusal> parse_request(const runtime::http_request& r,
                                    const confirmed_document& confirmed,
                                    const entry_settings& settings, time_point now) {
    // Target and content type go into messages whose receivers parse only UTF-8.
    if (!is_utf8(r.target) || !is_utf8(r.header("Content-Type"))) {
        return refusal{400, "the target and the header Content-Type must be UTF-8"};
    }
    work w;
    w.request_id = request_id_of(r);
    w.method = r.method;
    w.content_type = r.header("Content-Type");
    w.received = now;
    w.received_wall_ns = runtime::wall_clock_ns();
    const auto parent = runtime::parse_traceparent(r.header("traceparent"));
    w.span = runtime::child_of(parent);
    w.parent_span = parent ? parent->span_id : "";
    const auto time_limit = deadline_of(r, settings);
    if (!succeeded(time_limit)) {
        return error(time_limit);
    }
    w.deadline = now + value(time_limit);
    const bool service = r.path().starts_with("/services/");
    const auto parsed_request =
        service ? parse_service_call(w, r, confirmed, now) : parse_completion(w, r, confirmed, now);
    if (!succeeded(parsed_request)) {
        return error(parsed_request);
    }
    const auto priority = priority_of(r, w.priority);
    if (!succeeded(priority)) {
        return error(priority);
    }
    w.priority = value(priority);
    w.body = r.body;
    return w;
}

}  // namespace burdockdeck::entry
