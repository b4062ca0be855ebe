// Tables that map the values of an enum class to names and back.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace burdockdeck {

// Names of the N values of enum E, each value once.
template <class E, std::size_t N>
using name_table = std::array<std::pair<E, std::string_view>, N>;

// The name of `wanted`, or "?" if it is not in the table.
template <class E, std::size_t N>
[[nodiscard]] constexpr std::string_view name_in(const name_table<E, N>& table, E wanted) {
    for (const auto& [key, name] : table) {
        if (key == wanted) {
            return name;
        }
    }
    return "?";
}

// The value with the name `wanted`, if there is one.
template <class E, std::size_t N>
[[nodiscard]] constexpr std::optional<E> value_in(const name_table<E, N>& table,
                                                  std::string_view wanted) {
    for (const auto& [key, name] : table) {
        if (name == wanted) {
            return key;
        }
    }
    return std::nullopt;
}

}  // namespace burdockdeck
