// Reads endpoints, log settings and access credentials.
#include "settings/common.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace burdockdeck::settings {

namespace {

bool is_ip_address(const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return ::inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           ::inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

std::string read_key_file(map_reader& reader, const std::string& path) {
    std::ifstream in(path);
    std::string key;
    std::getline(in, key);
    if (!in || key.size() < 16) {
        reader.fail("key_file",
                    "must name a readable file whose first line has at least 16 characters");
    }
    return key;
}

}  // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint e;
    e.ip = std::string(text.substr(0, colon));
    if (e.ip.size() > 2 && e.ip.front() == '[' && e.ip.back() == ']') {
        e.ip = e.ip.substr(1, e.ip.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, failed] = std::from_chars(digits.begin(), digits.end(), e.port);
    if (failed != std::errc{} || end != digits.end() || e.port == 0 || !is_ip_address(e.ip)) {
        return std::nullopt;
    }
    return e;
}

std::string to_text(const endpoint& e) {
    const bool is_ipv6 = e.ip.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + e.ip + "]" : e.ip) + ":" + std::to_string(e.port);
}

endpoint get_endpoint(map_reader& reader, std::string_view key) {
    const std::string text = reader.get_string(key);
    const std::optional<endpoint> parsed = parse_endpoint(text);
    if (!parsed) {
        reader.fail(key, "must be an IP address and a port, such as 127.0.0.1:8080");
        return {};
    }
    return *parsed;
}

std::vector<endpoint> get_endpoints(map_reader& reader, std::string_view key) {
    std::vector<endpoint> out;
    for (const std::string& text : reader.get_strings(key)) {
        const std::optional<endpoint> parsed = parse_endpoint(text);
        if (!parsed) {
            reader.fail(key, "`" + text + "` is not an IP address and a port");
            return out;
        }
        out.push_back(*parsed);
    }
    if (out.empty()) {
        reader.fail(key, "must list at least one endpoint");
    }
    return out;
}

log_settings get_log_settings(map_reader& reader) {
    map_reader log = reader.get_map("log");
    log_settings s;
    s.file = log.get_string("file", "");
    s.span_file = log.get_string("span_file", "");
    s.debug = log.get_flag("debug", false);
    s.bytes_per_second = static_cast<std::uint64_t>(log.get_integer(
        "bytes_per_second", 1024, 1'000'000'000, static_cast<std::int64_t>(s.bytes_per_second)));
    (void)log.finish();
    return s;
}

access_settings get_access_settings(map_reader& reader) {
    map_reader access = reader.get_map("access");
    access_settings s;
    const std::string key_file = access.get_string("key_file", "");
    s.certificate_file = access.get_string("certificate_file", "");
    s.private_key_file = access.get_string("private_key_file", "");
    s.authority_file = access.get_string("authority_file", "");
    const bool open_without_key = access.get_flag("open_without_key", false);
    if (!key_file.empty()) {
        s.key = read_key_file(access, key_file);
    }
    const bool any_tls_file =
        !s.certificate_file.empty() || !s.private_key_file.empty() || !s.authority_file.empty();
    const bool all_tls_files =
        !s.certificate_file.empty() && !s.private_key_file.empty() && !s.authority_file.empty();
    if (any_tls_file && !all_tls_files) {
        access.fail("",
                    "certificate_file, private_key_file and authority_file must be set together");
    }
    if (!open_without_key && key_file.empty() && !all_tls_files) {
        reader.fail("access",
                    "must set key_file, the certificate files, or open_without_key: true");
    }
    (void)access.finish();
    return s;
}

}  // namespace burdockdeck::settings
