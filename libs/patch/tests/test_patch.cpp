// Tests that patches are small, restore the text exactly, and are rejected with a wrong base or
// damaged bytes.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <random>
#include <string>

#include "patch/patch.h"

using namespace burdockdeck;

namespace {

// A document with `routes` routes, whose random names compress poorly.
std::string document_of(int routes, unsigned seed) {
    std::mt19937 rng(seed);
    std::string out = "{\"routes\":[";
    for (int i = 0; i < routes; ++i) {
        out += "{\"name\":\"r-" + std::to_string(rng()) + "\",\"host\":\"h" +
               std::to_string(rng()) + ".example\",\"path_prefix\":\"/p" + std::to_string(rng()) +
               "/\",\"type\":\"streaming\",\"timeout_ms\":15000,\"service\":\"s\"},";
    }
    return out + "]}";
}

}  // namespace

TEST_CASE("a patch restores the exact text for random bases and texts") {
    std::mt19937 rng(7);
    MESSAGE("seed 7");
    for (int round = 0; round < 200; ++round) {
        std::string base = document_of(static_cast<int>(rng() % 50), static_cast<unsigned>(rng()));
        std::string text = base;
        for (auto edits = rng() % 20; edits > 0 && !text.empty(); --edits) {
            const std::size_t at = rng() % text.size();
            text[at] = static_cast<char>(rng());
            text.insert(rng() % text.size(), std::string(rng() % 90, static_cast<char>(rng())));
            text.erase(rng() % text.size(), rng() % 90);
        }
        if (rng() % 10 == 0) {
            text.clear();
        }
        if (rng() % 10 == 0) {
            base.clear();
        }
        const auto encoded = patch::make(base, text);
        REQUIRE(succeeded(encoded));
        const auto applied = patch::apply(base, value(encoded));
        REQUIRE(succeeded(applied));
        CHECK(value(applied) == text);
    }
}

TEST_CASE("a patch for one changed route of 1,600 is smaller than 1,000 bytes") {
    const std::string base = document_of(1600, 1);
    std::string text = base;
    text.replace(text.size() / 2, 20, "changed in the middle");
    const auto encoded = patch::make(base, text);
    REQUIRE(succeeded(encoded));
    MESSAGE("document " << base.size() << " bytes, patch " << value(encoded).size());
    CHECK(value(encoded).size() < 1000);
}

TEST_CASE("a patch is rejected if the base differs, or if it is damaged or truncated") {
    const std::string base = document_of(100, 1);
    const std::string other = document_of(100, 2);
    const auto encoded = patch::make(base, base + "more");
    REQUIRE(succeeded(encoded));
    CHECK_FALSE(succeeded(patch::apply(other, value(encoded))));
    CHECK_FALSE(succeeded(patch::apply("", value(encoded))));
    CHECK_FALSE(succeeded(patch::apply(base, value(encoded).substr(0, value(encoded).size() - 1))));
    CHECK_FALSE(succeeded(patch::apply(base, "")));
    std::mt19937 rng(11);
    MESSAGE("seed 11");
    for (int round = 0; round < 300; ++round) {
        std::string damaged = value(encoded);
        damaged[rng() % damaged.size()] ^= static_cast<char>(1U << (rng() % 8));
        const auto applied = patch::apply(base, damaged);
        CHECK((!succeeded(applied) || value(applied) == base + "more"));
    }
}
