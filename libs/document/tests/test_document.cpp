// Documents: what is accepted, what is refused and where, what the digest depends on.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>

#include "document/document.h"

using namespace burdockdeck;

namespace {

const std::string good = R"(environment: production
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

settings::settings_error refused(const std::string& text) {
    const auto parsed = document::parse("d.yaml", text);
    REQUIRE(!succeeded(parsed));
    return error(parsed);
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a good document resolves models, adapters and routes") {
    const auto parsed = document::parse("d.yaml", good);
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
    const auto one = document::parse("d.yaml", good);
    const auto two = document::parse("d.yaml", "# note\n" + good);
    const auto three =
        document::parse("d.yaml", replaced(good, "memory_mb: 100", "memory_mb: 101"));
    CHECK(document::digest(value(one)) == document::digest(value(two)));
    CHECK(document::digest(value(one)) != document::digest(value(three)));
}

TEST_CASE("mistakes are refused with their place") {
    CHECK(refused(replaced(good, "version: \"3\"", "versoin: \"3\"")).key == "version");
    CHECK(refused(replaced(good, "memory_mb: 100", "memory_mb: 0")).line == 6);
    CHECK(refused(replaced(good, "max: 2", "max: 0")).key == "max");
    CHECK(refused(replaced(good, "path: /quote", "path: quote")).key == "path");
    CHECK(refused(good + "extra: 1\n").key == "extra");
    CHECK(refused(replaced(good, "name: map-reader", "name: map reader")).key == "name");
    const std::string twice = replaced(
        good, "services:", "  - {name: map-reader, version: \"1\", memory_mb: 1}\nservices:");
    CHECK(refused(twice).message.find("twice") != std::string::npos);
}

TEST_CASE("random changes of a good document are refused with a place, or parse to a sound one") {
    const unsigned seed = 22;
    MESSAGE("seed " << seed);
    std::mt19937 rng(seed);
    for (int round = 0; round < 5000; ++round) {
        std::string text = good;
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
