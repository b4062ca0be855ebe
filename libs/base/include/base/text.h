// Encoding of text that comes from outside the system. Protobuf parses a message only if all its
// `string` fields are UTF-8, but writes any bytes into them.
#pragma once

#include <string>
#include <string_view>

namespace burdockdeck {

// True if `text` is well-formed UTF-8.
[[nodiscard]] bool is_utf8(std::string_view text);
// `text` with a replacement character (U+FFFD) in place of each byte that is not part of
// well-formed UTF-8.
[[nodiscard]] std::string to_utf8(std::string_view text);

}  // namespace burdockdeck
