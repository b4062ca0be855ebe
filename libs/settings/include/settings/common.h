// Settings that several programs share.
#pragma once

#include <cstdint>
#include <string>

#include "settings/reader.h"

namespace burdockdeck::settings {

// An IP number and a port. Valid: port from 1 to 65535.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

// Parses "127.0.0.1:80" or "[::1]:80".
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);
// "ip:port", with brackets around an IPv6 number.
[[nodiscard]] std::string to_text(const endpoint& e);

// The endpoint at `key`; an error if it is missing or no IP number with a port.
[[nodiscard]] endpoint get_endpoint(map_reader& reader, std::string_view key);
// The non-empty list of endpoints at `key`.
[[nodiscard]] std::vector<endpoint> get_endpoints(map_reader& reader, std::string_view key);

// Where logs and spans go, and how much is logged.
struct log_settings {
    // Empty: standard output.
    std::string file;
    // Empty: no spans are written.
    std::string span_file;
    bool debug = false;
    // Lines beyond this are left out and counted. About 200 lines a second, which a busy instance
    // writes for its requests.
    std::uint64_t bytes_per_second = 64 * 1024;
};

[[nodiscard]] log_settings get_log_settings(map_reader& reader);

// How processes prove themselves to each other.
struct access_settings {
    // The shared key; empty only with `plaintext: true`.
    std::string key;
    // PEM files for mutual TLS; all empty for a connection without TLS.
    std::string certificate_file;
    std::string private_key_file;
    std::string authority_file;
};

// Reads the map `access`. Without a key or certificates it must say `open_without_key: true`.
[[nodiscard]] access_settings get_access_settings(map_reader& reader);

}  // namespace burdockdeck::settings
