// HTTP interface of the stand-in engine, and its simulated generation.
#include "engine.h"

#include <boost/json.hpp>

namespace burdockdeck::standins {

namespace {

namespace json = boost::json;

std::string text_at(const json::object& o, const char* key) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->as_string()) : "";
}

std::int64_t number_at(const json::object& o, const char* key, std::int64_t fallback) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_int64() ? v->as_int64() : fallback;
}

double real_at(const json::object& o, const char* key, double fallback) {
    const json::value* v = o.if_contains(key);
    return v != nullptr && v->is_number() ? v->to_number<double>() : fallback;
}

json::object parse_object(const std::string& text) {
    boost::system::error_code failed;
    json::value v = json::parse(text, failed);
    return failed || !v.is_object() ? json::object{} : v.as_object();
}

std::string stream_event(const std::string& id, const std::string& word) {
    return "data: " +
           json::serialize(
               json::object{{"id", id}, {"choices", json::array{json::object{{"text", word}}}}}) +
           "\n\n";
}

std::string completion_json(const std::string& id, const std::string& text) {
    return json::serialize(json::object{
        {"id", id},
        {"object", "text_completion"},
        {"choices", json::array{json::object{{"text", text}, {"finish_reason", "length"}}}}});
}

// The prompt of a completion or chat request.
std::string prompt_of(const json::object& body) {
    const json::value* messages = body.if_contains("messages");
    return messages != nullptr ? json::serialize(*messages) : text_at(body, "prompt");
}

}  // namespace

std::string answer_word(const std::string& prompt, std::uint64_t index) {
    // FNV-1a, so that a checker in any language can compute it.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : prompt + "#" + std::to_string(index)) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return "w" + std::to_string(hash % 100000) + " ";
}

engine_behaviour engine::behaviour() {
    const std::lock_guard lock(mutex_);
    return behaviour_;
}

boost::asio::awaitable<void> engine::respond_json(runtime::http_exchange& exchange, unsigned status,
                                                  std::string body) {
    runtime::http_response r;
    r.status = status;
    r.body = std::move(body);
    (void)co_await exchange.respond(std::move(r));
}

std::string engine::inventory() {
    const std::lock_guard lock(mutex_);
    json::array models;
    for (const auto& [name, l] : models_) {
        models.push_back(json::object{{"model", name.substr(0, name.rfind('@'))},
                                      {"version", l.version},
                                      {"memory_mb", l.memory_mb}});
    }
    return json::serialize(json::object{{"memory_mb", options_.memory_mb}, {"models", models}});
}

std::string engine::record() {
    const std::lock_guard lock(mutex_);
    json::object starts;
    for (const auto& [id, count] : starts_) {
        starts[id] = count;
    }
    json::array orders;
    for (const std::string& o : orders_) {
        orders.push_back(json::value(o));
    }
    return json::serialize(json::object{{"starts", starts},
                                        {"orders", orders},
                                        {"tokens", tokens_},
                                        {"running", running_},
                                        {"highest_memory_mb", highest_memory_},
                                        {"overcommits", overcommits_}});
}

std::string engine::apply_order(const std::string& body, unsigned& status) {
    const json::object o = parse_object(body);
    const std::string action = text_at(o, "action");
    const std::string key = text_at(o, "model") + "@" + text_at(o, "version");
    const auto fence = static_cast<std::uint64_t>(number_at(o, "fence", 0));
    const std::lock_guard lock(mutex_);
    if (options_.refuses_old_fences && fence < highest_fence_) {
        status = 409;
        return R"({"error":"the fencing number is lower than the highest seen"})";
    }
    highest_fence_ = std::max(highest_fence_, fence);
    orders_.push_back(action + " " + key + " " + std::to_string(fence));
    status = 200;
    if (action == "unload") {
        models_.erase(key);
        return R"({"done":true})";
    }
    models_[key] = {text_at(o, "version"),
                    static_cast<std::uint32_t>(number_at(o, "memory_mb", 0))};
    std::uint64_t used = 0;
    for (const auto& [name, l] : models_) {
        used += l.memory_mb;
    }
    highest_memory_ = std::max(highest_memory_, used);
    // A real engine would run out of memory here; the record counts it for the checker.
    overcommits_ += used > options_.memory_mb ? 1 : 0;
    return R"({"done":true})";
}

boost::asio::awaitable<void> engine::execute_order(runtime::http_exchange& exchange) {
    const std::string body = exchange.request().body;
    const engine_behaviour b = behaviour();
    const bool is_load = text_at(parse_object(body), "action") == "load";
    bool lose_answer = false;
    {
        const std::lock_guard lock(mutex_);
        lose_answer = behaviour_.lose_orders > 0;
        behaviour_.lose_orders -= lose_answer ? 1 : 0;
    }
    if (is_load) {
        co_await runtime::sleep_for(std::chrono::milliseconds(b.load_ms));
    }
    if (lose_answer) {
        co_await runtime::sleep_for(std::chrono::milliseconds(b.late_order_ms));
    }
    unsigned status = 200;
    std::string reply = apply_order(body, status);
    if (lose_answer) {
        // Returning without a response closes the connection.
        co_return;
    }
    co_await respond_json(exchange, status, std::move(reply));
}

void engine::apply_control(const std::string& body) {
    const json::object o = parse_object(body);
    const std::lock_guard lock(mutex_);
    engine_behaviour& b = behaviour_;
    b.token_us = number_at(o, "token_us", b.token_us);
    b.batch_slowdown = real_at(o, "batch_slowdown", b.batch_slowdown);
    b.slow_factor = real_at(o, "slow_factor", b.slow_factor);
    b.load_ms = number_at(o, "load_ms", b.load_ms);
    b.lose_orders = static_cast<int>(number_at(o, "lose_orders", b.lose_orders));
    b.late_order_ms = number_at(o, "late_order_ms", b.late_order_ms);
    b.cut_after = number_at(o, "cut_after", b.cut_after);
    b.silent = number_at(o, "silent", b.silent ? 1 : 0) != 0;
}

// Waits for the generation time of `count` tokens. False if the request was cancelled meanwhile.
boost::asio::awaitable<bool> engine::pause_for_tokens(std::int64_t count, const std::string& id) {
    std::int64_t us = 0;
    {
        const std::lock_guard lock(mutex_);
        const double load = 1.0 + behaviour_.batch_slowdown * running_;
        us = static_cast<std::int64_t>(static_cast<double>(behaviour_.token_us * count) * load *
                                       behaviour_.slow_factor);
    }
    if (us > 0) {
        co_await runtime::sleep_for(std::chrono::microseconds(us));
    }
    while (behaviour().silent) {
        co_await runtime::sleep_for(std::chrono::milliseconds(20));
    }
    const std::lock_guard lock(mutex_);
    tokens_ += static_cast<std::uint64_t>(count);
    co_return stop_requests_[id] == stop_request::none;
}

boost::asio::awaitable<void> engine::complete(runtime::http_exchange& exchange) {
    const runtime::http_request& r = exchange.request();
    const json::object body = parse_object(r.body);
    const std::string id(r.header("X-Request-Id"));
    const std::string model = text_at(body, "model");
    const std::string key =
        model.substr(0, model.find(':')) + "@" + std::string(r.header("X-Model-Version"));
    const std::string_view resume = r.header("X-Resume-From");
    bool model_loaded = false;
    bool may_resume = false;
    {
        const std::lock_guard lock(mutex_);
        model_loaded = models_.contains(key);
        may_resume = resumable_.erase(id) > 0;
    }
    if (!model_loaded) {
        co_await respond_json(exchange, 404, R"({"error":"the model is not loaded"})");
        co_return;
    }
    if (!resume.empty() && !may_resume) {
        co_await respond_json(exchange, 409,
                              R"({"error":"no state is kept for a resumption of this request"})");
        co_return;
    }
    const std::string prompt = prompt_of(body);
    const std::int64_t count = number_at(body, "max_tokens", 16);
    const json::value* stream = body.if_contains("stream");
    const bool streamed = stream != nullptr && stream->is_bool() && stream->as_bool();
    {
        const std::lock_guard lock(mutex_);
        ++running_;
        starts_[id] += resume.empty() ? 1 : 0;
        stop_requests_[id] = stop_request::none;
    }
    bool active = true;
    if (streamed) {
        runtime::http_response head;
        head.content_type = "text/event-stream";
        active = co_await exchange.begin(std::move(head));
    }
    std::string text;
    std::int64_t next = resume.empty() ? 0 : std::stoll(std::string(resume));
    // If token_us is zero, each step generates several tokens, which a stream sends together, as a
    // busy engine does.
    const engine_behaviour b = behaviour();
    const std::int64_t step = b.token_us == 0 ? 16 : 1;
    const std::int64_t first_token = next;
    while (active && next < count) {
        const std::int64_t batch = std::min(step, count - next);
        active = co_await pause_for_tokens(batch, id);
        std::string chunk;
        for (std::int64_t i = 0; i < batch && active; ++i, ++next) {
            const std::string word = answer_word(prompt, static_cast<std::uint64_t>(next));
            streamed ? chunk += stream_event(id, word) : text += word;
        }
        if (streamed && !chunk.empty()) {
            active = co_await exchange.write(chunk);
        }
        const std::int64_t cut_after = behaviour().cut_after;
        if (cut_after > 0 && next - first_token >= cut_after && next < count) {
            active = false;
            const std::lock_guard lock(mutex_);
            stop_requests_[id] = stop_request::keep;
        }
    }
    bool finished = false;
    {
        const std::lock_guard lock(mutex_);
        --running_;
        finished = next >= count;
        if (!finished && stop_requests_[id] == stop_request::keep) {
            resumable_.insert(id);
        }
        stop_requests_.erase(id);
    }
    if (!finished) {
        // Returning before the end of the response closes the connection.
        co_return;
    }
    if (streamed) {
        (void)co_await exchange.write("data: [DONE]\n\n");
        (void)co_await exchange.finish();
        co_return;
    }
    std::string completion = completion_json(id, text);
    co_await respond_json(exchange, 200, std::move(completion));
}

boost::asio::awaitable<void> engine::answer(runtime::http_exchange& exchange) {
    const std::string path(exchange.request().path());
    if (path == "/control") {
        apply_control(exchange.request().body);
        co_await respond_json(exchange, 200, "{}");
        co_return;
    }
    if (path == "/record") {
        co_await respond_json(exchange, 200, record());
        co_return;
    }
    while (behaviour().silent) {
        co_await runtime::sleep_for(std::chrono::milliseconds(20));
    }
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        co_await complete(exchange);
    } else if (path == "/inventory") {
        co_await respond_json(exchange, 200, inventory());
    } else if (path == "/orders") {
        co_await execute_order(exchange);
    } else if (path == "/healthz") {
        co_await respond_json(exchange, 200, "{}");
    } else if (path.starts_with("/cancel/")) {
        const std::string id = path.substr(8);
        const bool keep = exchange.request().target.find("keep=1") != std::string::npos;
        {
            const std::lock_guard lock(mutex_);
            const auto found = stop_requests_.find(id);
            if (found != stop_requests_.end()) {
                found->second = keep ? stop_request::keep : stop_request::drop;
            }
        }
        co_await respond_json(exchange, 200, "{}");
    } else {
        co_await respond_json(exchange, 404, R"({"error":"no such path"})");
    }
}

}  // namespace burdockdeck::standins
