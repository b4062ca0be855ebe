// JSON over HTTP, as implemented by the stand-ins under tests/standins.
#include "upstream_protocol.h"

#include <boost/json.hpp>

namespace burdockdeck::agent {

namespace {

namespace json = boost::json;

std::string text_at(const json::object& o, const char* key) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->as_string()) : "";
}

std::uint32_t number_at(const json::object& o, const char* key, std::uint32_t fallback) {
    const json::value* v = o.if_contains(key);
    if (v == nullptr || !v->is_int64() || v->as_int64() < 0 || v->as_int64() > UINT32_MAX) {
        return fallback;
    }
    return static_cast<std::uint32_t>(v->as_int64());
}

bool flag_at(const json::object& o, const char* key) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_bool() && v->as_bool();
}

result<json::object, protocol_error> parse_object(const std::string& body) {
    boost::system::error_code failed;
    json::value v = json::parse(body, failed);
    if (failed || !v.is_object()) {
        return protocol_error{"the body is not a JSON object"};
    }
    return std::move(v.as_object());
}

const char* name_of(schema::work_priority p) {
    switch (p) {
        case schema::priority_high:
            return "high";
        case schema::priority_low:
            return "low";
        default:
            return "normal";
    }
}

}  // namespace

bool announcement::operator==(const announcement& o) const {
    return kind == o.kind && service == o.service && to_text(address) == to_text(o.address) &&
           memory_mb == o.memory_mb && slots == o.slots &&
           refuses_old_fences == o.refuses_old_fences;
}

result<announcement, protocol_error> parse_announcement(const std::string& body) {
    auto parsed = parse_object(body);
    if (!succeeded(parsed)) {
        return error(parsed);
    }
    const json::object& o = value(parsed);
    announcement a;
    const std::string kind = text_at(o, "kind");
    if (kind != "engine" && kind != "service") {
        return protocol_error{"`kind` must be `engine` or `service`"};
    }
    a.kind = kind == "engine" ? schema::upstream_engine : schema::upstream_service;
    a.service = text_at(o, "service");
    if (a.kind == schema::upstream_service && a.service.empty()) {
        return protocol_error{"`service` is required for an upstream of kind `service`"};
    }
    const auto address = settings::parse_endpoint(text_at(o, "address"));
    if (!address) {
        return protocol_error{"`address` must be an IP address and a port"};
    }
    a.address = *address;
    a.memory_mb = number_at(o, "memory_mb", 0);
    a.slots = number_at(o, "slots", 1);
    a.refuses_old_fences = flag_at(o, "refuses_old_fences");
    if (a.slots == 0 || (a.kind == schema::upstream_engine && a.memory_mb == 0)) {
        return protocol_error{"`slots` and, for an engine, `memory_mb` must be above zero"};
    }
    return a;
}

runtime::http_request inventory_request() {
    runtime::http_request r;
    r.target = "/inventory";
    return r;
}

result<std::vector<loaded_model>, protocol_error> parse_inventory(const std::string& body) {
    auto parsed = parse_object(body);
    if (!succeeded(parsed)) {
        return error(parsed);
    }
    const json::value* models = value(parsed).if_contains("models");
    if (models == nullptr || !models->is_array()) {
        return protocol_error{"inventory: `models` is missing or not a list"};
    }
    std::vector<loaded_model> out;
    for (const json::value& v : models->as_array()) {
        if (!v.is_object()) {
            return protocol_error{"inventory: an entry of `models` is not an object"};
        }
        const json::object& o = v.as_object();
        out.push_back({text_at(o, "model"), text_at(o, "version"), number_at(o, "memory_mb", 0),
                       flag_at(o, "loading")});
    }
    return out;
}

runtime::http_request health_request() {
    runtime::http_request r;
    r.target = "/healthz";
    return r;
}

runtime::http_request order_request(const order& o) {
    runtime::http_request r;
    r.method = "POST";
    r.target = "/orders";
    r.headers = {{"Content-Type", "application/json"}};
    r.body =
        json::serialize(json::object{{"action", o.action == order_action::load ? "load" : "unload"},
                                     {"model", o.model},
                                     {"version", o.version},
                                     {"memory_mb", o.memory_mb},
                                     {"fence", o.fence}});
    return r;
}

order_result classify_order(const result<runtime::http_response, runtime::http_error>& answer) {
    if (!succeeded(answer)) {
        return error(answer).not_sent ? order_result::refused : order_result::unanswered;
    }
    const unsigned status = value(answer).status;
    if (status == 200) {
        return order_result::done;
    }
    return status >= 400 && status < 500 ? order_result::refused : order_result::unanswered;
}

runtime::http_request work_request(const rpc::run_request& run, const std::string& traceparent,
                                   bool resume, std::uint64_t resume_events) {
    runtime::http_request r;
    r.method = run.method();
    r.target = run.path();
    r.body = run.body();
    r.headers = {{"Content-Type", run.content_type()},
                 {"X-Request-Id", run.attempt()},
                 {"traceparent", traceparent}};
    if (run.kind() == rpc::work_completion) {
        r.headers.emplace_back("X-Priority", name_of(run.priority()));
        r.headers.emplace_back("X-Model-Version", run.version());
    }
    if (resume) {
        r.headers.emplace_back("X-Resume-From", std::to_string(resume_events));
    }
    return r;
}

runtime::http_request cancel_request(const std::string& attempt, bool resumable) {
    runtime::http_request r;
    r.method = "POST";
    r.target = "/cancel/" + attempt + (resumable ? "?keep=1" : "");
    return r;
}

bool engine_refused(unsigned status) {
    return status == 404 || status == 409 || status == 429 || status == 503;
}

}  // namespace burdockdeck::agent
