// Tests that each kind of error in a settings file is reported with file, line and key.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "settings/common.h"

using namespace burdockdeck::settings;

namespace {

std::optional<settings_error> read_port(const std::string& text) {
    map_reader r = map_reader::parse("a.yaml", text);
    (void)r.get_integer("port", 1, 65535);
    return r.finish();
}

}  // namespace

TEST_CASE("a valid file gives its values") {
    map_reader r = map_reader::parse("a.yaml", "name: x\nlisten: 127.0.0.1:80\nwait_ms: 5\n");
    CHECK(r.get_string("name") == "x");
    CHECK(to_text(get_endpoint(r, "listen")) == "127.0.0.1:80");
    CHECK(r.get_milliseconds("wait_ms", 0, 10, 1) == std::chrono::milliseconds(5));
    CHECK(r.get_integer("absent", 1, 9, 7) == 7);
    CHECK(!r.finish());
}

TEST_CASE("errors name file, line and key") {
    struct invalid_input {
        const char* text;
        int line;
        const char* key;
    };
    for (const invalid_input& input :
         {invalid_input{"port: 80\nextra: 1\n", 2, "extra"},
          invalid_input{"port: many\n", 1, "port"}, invalid_input{"\nport: 70000\n", 2, "port"},
          invalid_input{"port: [1]\n", 1, "port"}, invalid_input{"other: 1\n", 1, "port"},
          invalid_input{"port: 1\nport: 2\n", 2, "port"}}) {
        CAPTURE(input.text);
        const auto failed = read_port(input.text);
        REQUIRE(failed);
        CHECK(failed->file == "a.yaml");
        CHECK(failed->line == input.line);
        CHECK(failed->key == input.key);
    }
    CHECK(read_port("port: {\n")->message.find("YAML") != std::string::npos);
    CHECK(read_port("- 1\n").has_value());
    CHECK(read_port("").has_value());
}

TEST_CASE("errors in nested maps are reported by the outer reader") {
    map_reader r = map_reader::parse("a.yaml", "log:\n  files: x\n");
    (void)get_log_settings(r);
    const auto failed = r.finish();
    REQUIRE(failed);
    CHECK(failed->line == 2);
    CHECK(failed->key == "files");
}

TEST_CASE("access without a key or certificates must be declared open") {
    map_reader r = map_reader::parse("a.yaml", "name: x\n");
    (void)r.get_string("name");
    (void)get_access_settings(r);
    CHECK(r.finish()->key == "access");
    map_reader open = map_reader::parse("a.yaml", "access: {open_without_key: true}\n");
    (void)get_access_settings(open);
    CHECK(!open.finish());
}

TEST_CASE("endpoints must be IP addresses with a port") {
    CHECK(parse_endpoint("[::1]:80")->ip == "::1");
    for (const char* bad : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", ":80"}) {
        CHECK(!parse_endpoint(bad));
    }
}
