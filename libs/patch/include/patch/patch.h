// Delta encoding of a text against a base text, so that a small change of a long text takes few
// bytes on the wire and in the log. Uses Zstandard frames with a content checksum.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"

namespace burdockdeck::patch {

struct patch_error {
    std::string message;
};

// Maximum size in bytes of a text that `apply` returns.
inline constexpr std::size_t max_text_bytes = 64 * 1024 * 1024;

// Encodes `text` as a patch against `base`; with an empty `base`, as the compressed full text.
[[nodiscard]] result<std::string, patch_error> make(std::string_view base, std::string_view text);
// Restores the text from a patch created by `make`. Fails if `base` differs from that given to
// `make`, or if the patch is damaged.
[[nodiscard]] result<std::string, patch_error> apply(std::string_view base, std::string_view patch);

}  // namespace burdockdeck::patch
