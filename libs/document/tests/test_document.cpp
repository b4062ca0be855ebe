// Tests which documents are accepted, which key and line a refusal names, and what the digest
// covers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "document/document.h"

using namespace burdockdeck;

namespace {

const std::string valid_text = R"(environment: production
label: "1"
models:
  - name: map-reader
    version: "3"
    memory_mb: 100
    replicas: {min: 1, max: 2}
    adapters:
      - {name: perak, memory_mb: 5}
services:
  - name: orders
    routes:
      - {method: POST, path: /, idempotent: false}
      - {method: POST, path: /quote, idempotent: true}
)";

settings::settings_error error_of(const std::string& text) {
    const auto parsed = document::parse("d.yaml", text);
    REQUIRE(!succeeded(parsed));
    return error(parsed);
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a valid document resolves models, adapters and routes") {
    const auto parsed = document::parse("d.yaml", valid_text);
    REQUIRE(succeeded(parsed));
    const schema::document& d = value(parsed);
    CHECK(document::footprint_mb(d.models(0)) == 105);
    CHECK(document::resolve(d, "map-reader")->adapter.empty());
    CHECK(document::resolve(d, "map-reader:perak")->adapter == "perak");
    CHECK(!document::resolve(d, "map-reader:kedah"));
    CHECK(!document::resolve(d, "other"));
    const schema::service& orders = d.services(0);
    CHECK(!document::is_idempotent(orders, "POST", "/book"));
    CHECK(document::is_idempotent(orders, "POST", "/quote/5"));
    CHECK(document::is_idempotent(orders, "GET", "/anything"));
    CHECK(!document::is_idempotent(orders, "DELETE", "/anything"));
}

TEST_CASE("the digest ignores comments and depends on content") {
    const auto original = document::parse("d.yaml", valid_text);
    const auto commented = document::parse("d.yaml", "# note\n" + valid_text);
    const auto changed =
        document::parse("d.yaml", replaced(valid_text, "memory_mb: 100", "memory_mb: 101"));
    CHECK(document::digest(value(original)) == document::digest(value(commented)));
    CHECK(document::digest(value(original)) != document::digest(value(changed)));
}

TEST_CASE("errors name the key or the line") {
    CHECK(error_of(replaced(valid_text, "version: \"3\"", "versoin: \"3\"")).key == "version");
    CHECK(error_of(replaced(valid_text, "memory_mb: 100", "memory_mb: 0")).line == 6);
    CHECK(error_of(replaced(valid_text, "max: 2", "max: 0")).key == "max");
    CHECK(error_of(replaced(valid_text, "path: /quote", "path: quote")).key == "path");
    CHECK(error_of(valid_text + "extra: 1\n").key == "extra");
    CHECK(error_of(replaced(valid_text, "name: map-reader", "name: map reader")).key == "name");
    const std::string duplicate = replaced(
        valid_text, "services:", "  - {name: map-reader, version: \"1\", memory_mb: 1}\nservices:");
    CHECK(error_of(duplicate).message.find("twice") != std::string::npos);
}

TEST_CASE("random changes to a valid document are refused with a message or give valid models") {
    const unsigned seed = 22;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    for (int round = 0; round < 5000; ++round) {
        std::string text = valid_text;
        for (unsigned i = 0; i < 1 + rng() % 4; ++i) {
            text[rng() % text.size()] = static_cast<char>(rng() % 128);
        }
        const auto parsed = document::parse("d.yaml", text);
        if (!succeeded(parsed)) {
            CHECK(!error(parsed).message.empty());
            continue;
        }
        for (const schema::model& m : value(parsed).models()) {
            CHECK(m.memory_mb() > 0);
            CHECK(m.min_replicas() >= 1);
            CHECK(m.max_replicas() >= m.min_replicas());
        }
    }
}
