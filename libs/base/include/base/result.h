// Result type of fallible functions: a value or a typed error in a std::variant.
#pragma once

#include <utility>
#include <variant>

namespace burdockdeck {

// The value of type T on success, otherwise the error. T and E must be distinct types.
template <class T, class E>
using result = std::variant<T, E>;

// Value type of functions that return no value on success.
using nothing = std::monostate;

// True if `r` holds its value.
template <class T, class E>
[[nodiscard]] bool succeeded(const result<T, E>& r) {
    return r.index() == 0;
}

// The value of `r`. Precondition: succeeded(r).
template <class T, class E>
[[nodiscard]] const T& value(const result<T, E>& r) {
    return std::get<0>(r);
}

// The value of `r`, to be moved from. Precondition: succeeded(r).
template <class T, class E>
[[nodiscard]] T& value(result<T, E>& r) {
    return std::get<0>(r);
}

// The value of a temporary result. Precondition: succeeded(r).
template <class T, class E>
[[nodiscard]] T value(result<T, E>&& r) {
    return std::get<0>(std::move(r));
}

// The error of `r`. Precondition: !succeeded(r).
template <class T, class E>
[[nodiscard]] const E& error(const result<T, E>& r) {
    return std::get<1>(r);
}

}  // namespace burdockdeck
