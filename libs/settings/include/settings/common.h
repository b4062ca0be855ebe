// Settings that several programs share.
#pragma once

#include <cstdint>
#include <string>

#include "settings/reader.h"

namespace burdockdeck::settings {

// An IP address and a port. Valid ports are 1 to 65535.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

// Parses "127.0.0.1:80" or "[::1]:80".
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);
// "ip:port", with brackets around an IPv6 address.
[[nodiscard]] std::string to_text(const endpoint& e);

// The endpoint at `key`; records an error if it is missing or not an IP address with a port.
[[nodiscard]] endpoint get_endpoint(map_reader& reader, std::string_view key);
// The list of endpoints at `key`; records an error if it is empty or an item is invalid.
[[nodiscard]] std::vector<endpoint> get_endpoints(map_reader& reader, std::string_view key);

// Destinations of logs and spans, and the limit on logged bytes.
struct log_settings {
    // Empty: standard output.
    std::string file;
    // Empty: no spans are written.
    std::string span_file;
    bool debug = false;
    // Lines above this rate are dropped and counted. The default is about 200 lines per second, the
    // request log of a busy instance.
    std::uint64_t bytes_per_second = 64 * 1024;
};

[[nodiscard]] log_settings get_log_settings(map_reader& reader);

// Credentials with which processes authenticate to each other.
struct access_settings {
    // The shared key; empty only with certificates or `open_without_key: true`.
    std::string key;
    // PEM files for mutual TLS; all empty for connections without TLS.
    std::string certificate_file;
    std::string private_key_file;
    std::string authority_file;
};

// Reads the map `access`. Without a key or certificates, `open_without_key: true` is required.
[[nodiscard]] access_settings get_access_settings(map_reader& reader);

}  // namespace burdockdeck::settings
