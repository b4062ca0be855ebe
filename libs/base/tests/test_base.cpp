// Tests that incremental checksums equal one-shot checksums and that name tables map both ways.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "base/checksum.h"
#include "base/outcome.h"

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
