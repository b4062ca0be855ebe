// Tests that incremental checksums equal one-shot checksums, that name tables map both ways, and
// which bytes count as UTF-8.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "base/checksum.h"
#include "base/outcome.h"
#include "base/text.h"

using namespace burdockdeck;

TEST_CASE("an incremental checksum equals the one-shot checksum") {
    const std::string text(10000, 'x');
    running_checksum running;
    running.update(std::string_view(text).substr(0, 1));
    running.update(std::string_view(text).substr(1));
    CHECK(running.value() == checksum_of(text));
    running.update("y");
    CHECK(running.value() != checksum_of(text));
}

TEST_CASE("outcomes map to names and back") {
    CHECK(name_of(outcome::not_run) == "not_run");
    CHECK(value_in(outcome_names, "unknown") == outcome::unknown);
    CHECK(value_in(outcome_names, "lost") == std::nullopt);
}

TEST_CASE("bytes that are not UTF-8 are found and replaced") {
    for (const char* text : {"", "i-7f3a91c2", "Zo\xC3\xAB", "\xE2\x82\xAC", "\xF0\x9F\x99\x82"}) {
        CAPTURE(text);
        CHECK(is_utf8(text));
        CHECK(to_utf8(text) == text);
    }
    // A stray continuation, a cut character, overlong forms, a surrogate, a code point too high.
    for (const char* text : {"i-\xFF\xFE", "a\x80", "\xE2\x82", "\xC0\xAF", "\xE0\x80\xAF",
                             "\xED\xA0\x80", "\xF4\x90\x80\x80", "\xF8\x88\x80\x80\x80"}) {
        CAPTURE(text);
        CHECK_FALSE(is_utf8(text));
        CHECK(is_utf8(to_utf8(text)));
    }
    CHECK(to_utf8("a\xFF"
                  "b") ==
          "a\xEF\xBF\xBD"
          "b");
}
