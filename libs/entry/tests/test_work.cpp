// Tests the parsing of callers' requests: the resulting work, and the status of refusals.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "document/document.h"
#include "work.h"

using namespace burdockdeck;
using namespace burdockdeck::entry;

namespace {

schema::document sample_document() {
    auto parsed = document::parse("d.yaml", R"(environment: production
label: "1"
models:
  - name: reader
    version: "3"
    memory_mb: 10
    priority: high
    adapters: [{name: perak, memory_mb: 1}]
services:
  - name: orders
    routes:
      - {method: POST, path: /, idempotent: false}
      - {method: POST, path: /quote, idempotent: true}
)");
    REQUIRE(succeeded(parsed));
    return value(parsed);
}

entry_settings sample_settings() {
    entry_settings s;
    s.longest_deadline = std::chrono::minutes(1);
    s.default_deadline = std::chrono::seconds(30);
    return s;
}

result<work, refusal> parse_sample(runtime::http_request r, duration unconfirmed_for = {}) {
    const time_point now{};
    const schema::document document = sample_document();
    return parse_request(r, {document, now - unconfirmed_for}, sample_settings(), now);
}

runtime::http_request completion(std::string body, runtime::header_list headers = {}) {
    runtime::http_request r;
    r.method = "POST";
    r.target = "/v1/completions";
    r.body = std::move(body);
    r.headers = std::move(headers);
    return r;
}

unsigned refused_status(runtime::http_request r) {
    const auto parsed_request = parse_sample(std::move(r));
    return succeeded(parsed_request) ? 0 : error(parsed_request).status;
}

}  // namespace

// Guards against a call that the agent cannot parse.
TEST_CASE("a target or content type that is not UTF-8 is refused") {
    runtime::http_request service;
    service.method = "POST";
    service.target = "/services/orders/\xFF\xFE";
    CHECK(refused_status(service) == 400);
    service.target = "/services/orders/quote";
    service.headers = {{"Content-Type", "text/\xED\xA0\x80"}};
    CHECK(refused_status(service) == 400);
    service.headers = {{"Content-Type", "text/plain"}};
    CHECK(refused_status(service) == 0);
}

// Guards against 404 for a model that only a newer document declares while control is unreachable:
// the entry must answer 503 once its document is no longer confirmed.
TEST_CASE("an undeclared target gives 404 only while the document is confirmed as the newest") {
    runtime::http_request service;
    service.method = "POST";
    service.target = "/services/maps/draw";
    for (const runtime::http_request& r : {completion(R"({"model":"other"})"), service}) {
        const auto confirmed = parse_sample(r, confirmation_validity);
        REQUIRE(!succeeded(confirmed));
        CHECK(error(confirmed).status == 404);
        CHECK(error(confirmed).retry_after == duration::zero());
        const auto unconfirmed =
            parse_sample(r, confirmation_validity + std::chrono::milliseconds(1));
        REQUIRE(!succeeded(unconfirmed));
        CHECK(error(unconfirmed).status == 503);
        CHECK(error(unconfirmed).retry_after > duration::zero());
    }
    CHECK(succeeded(parse_sample(completion(R"({"model":"reader"})"), std::chrono::seconds(50))));
}

TEST_CASE("a completion is parsed into model, adapter, priority, deadline and trace") {
    const auto parsed_request = parse_sample(
        completion(R"({"model":"reader:perak","prompt":"x","max_tokens":7,"stream":true})",
                   {{"X-Request-Id", "id-1"},
                    {"Burdockdeck-Deadline-Ms", "1500"},
                    {"traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}));
    REQUIRE(succeeded(parsed_request));
    const work& w = value(parsed_request);
    CHECK(w.request_id == "id-1");
    CHECK(w.target == "reader");
    CHECK(w.adapter == "perak");
    CHECK(w.stream);
    CHECK(w.max_tokens == 7);
    CHECK(w.priority == schema::priority_high);
    CHECK(w.deadline == time_point{} + std::chrono::milliseconds(1500));
    CHECK(w.span.trace_id == "0af7651916cd43dd8448eb211c80319c");
    CHECK(w.idempotent);
}

TEST_CASE("a service call is idempotent by its route and keeps the key only if it is not") {
    runtime::http_request r;
    r.method = "POST";
    r.target = "/services/orders/book?x=1";
    r.headers = {{"Idempotency-Key", "k"}};
    const work booking = value(parse_sample(r));
    CHECK(!booking.idempotent);
    CHECK(booking.key == "orders/k");
    CHECK(booking.path == "/book?x=1");
    r.target = "/services/orders/quote";
    const work quote = value(parse_sample(r));
    CHECK(quote.idempotent);
    CHECK(quote.key.empty());
}

TEST_CASE("invalid requests are refused with the matching status") {
    CHECK(refused_status(completion("nonsense")) == 400);
    CHECK(refused_status(completion("[]")) == 400);
    CHECK(refused_status(completion("{}")) == 400);
    CHECK(refused_status(completion(R"({"model":"other"})")) == 404);
    CHECK(refused_status(completion(R"({"model":"reader:kedah"})")) == 404);
    CHECK(refused_status(completion(R"({"model":"reader","max_tokens":0})")) == 400);
    CHECK(refused_status(completion(R"({"model":"reader","max_tokens":"many"})")) == 400);
    CHECK(refused_status(completion(R"({"model":"reader","stream":1})")) == 400);
    const std::string valid_body = R"({"model":"reader"})";
    CHECK(refused_status(completion(valid_body)) == 0);
    for (const char* deadline : {"0", "-5", "soon", "99999999"}) {
        CHECK(refused_status(completion(valid_body, {{"Burdockdeck-Deadline-Ms", deadline}})) ==
              400);
    }
    CHECK(refused_status(completion(valid_body, {{"Burdockdeck-Priority", "urgent"}})) == 400);
    runtime::http_request get = completion(valid_body);
    get.method = "GET";
    CHECK(refused_status(get) == 405);
    runtime::http_request service;
    service.method = "POST";
    service.target = "/services/unknown/x";
    CHECK(refused_status(service) == 404);
    service.target = "/services/orders/book";
    service.headers = {{"Idempotency-Key", std::string(300, 'k')}};
    CHECK(refused_status(service) == 400);
}

TEST_CASE("malformed request ids are replaced") {
    runtime::http_request r;
    for (const std::string& malformed :
         {std::string("a b"), std::string(200, 'x'), std::string("\x01")}) {
        r.headers = {{"X-Request-Id", malformed}};
        CHECK(request_id_of(r) != malformed);
    }
}

TEST_CASE("a corrupted body is either parsed correctly or refused with a 4xx status") {
    const unsigned seed = 20;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    const std::string valid_body =
        R"({"model":"reader:perak","prompt":"x","max_tokens":7,"stream":true})";
    for (int round = 0; round < 20000; ++round) {
        std::string body = valid_body;
        for (unsigned i = 0; i < 1 + rng() % 6; ++i) {
            body[rng() % body.size()] = static_cast<char>(rng());
        }
        body.resize(rng() % (body.size() + 1));
        const auto parsed_request = parse_sample(completion(body));
        if (succeeded(parsed_request)) {
            CHECK(value(parsed_request).target == "reader");
        } else {
            CHECK(error(parsed_request).status >= 400);
            CHECK(error(parsed_request).status < 500);
        }
    }
}
