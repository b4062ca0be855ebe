// Validating reader for YAML maps. Unknown and missing keys, wrong types and values out of range
// give errors with file, line and key.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace burdockdeck::settings {

// An error in a settings file or document. `line` counts from 1; 0 if unknown.
struct settings_error {
    std::string file;
    int line = 0;
    std::string key;
    std::string message;
};

// "file:line: key `k`: message".
[[nodiscard]] std::string to_text(const settings_error& e);

// Reads one YAML map. Each get_* consumes a key; finish() reports keys that were not consumed.
// Calls record errors instead of throwing and then return a default; only the first error is kept.
class map_reader {
public:
    // Parses `text`; errors report `file` as the file name. The top level must be a map.
    [[nodiscard]] static map_reader parse(std::string file, const std::string& text);
    // Reads and parses the file at `path`.
    [[nodiscard]] static map_reader load(const std::string& path);

    map_reader(map_reader&&) noexcept;
    map_reader& operator=(map_reader&&) noexcept;
    ~map_reader();

    [[nodiscard]] bool has(std::string_view key) const;
    // A required string that is not empty.
    [[nodiscard]] std::string get_string(std::string_view key);
    [[nodiscard]] std::string get_string(std::string_view key, std::string_view fallback);
    // A required integer in [low, high].
    [[nodiscard]] std::int64_t get_integer(std::string_view key, std::int64_t low,
                                           std::int64_t high);
    [[nodiscard]] std::int64_t get_integer(std::string_view key, std::int64_t low,
                                           std::int64_t high, std::int64_t fallback);
    [[nodiscard]] double get_number(std::string_view key, double low, double high, double fallback);
    [[nodiscard]] bool get_flag(std::string_view key, bool fallback);
    // A whole number of milliseconds in [low, high].
    [[nodiscard]] duration get_milliseconds(std::string_view key, std::int64_t low,
                                            std::int64_t high, std::int64_t fallback);
    [[nodiscard]] std::vector<std::string> get_strings(std::string_view key);
    // The maps in the list at `key`; a missing key gives an empty list.
    [[nodiscard]] std::vector<map_reader> get_maps(std::string_view key);
    // The map at `key`; a missing key gives an empty map.
    [[nodiscard]] map_reader get_map(std::string_view key);

    // Records an error found by the code that reads the map. Only the first error is kept.
    void fail(std::string_view key, std::string message);
    // The first error of all maps read from the same file, or an unconsumed or duplicate key here.
    [[nodiscard]] std::optional<settings_error> finish();

private:
    struct state;
    explicit map_reader(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

}  // namespace burdockdeck::settings
