// Case-insensitive look-up of headers.
#include "gateway/protocol.h"

#include <algorithm>
#include <cctype>

namespace burdockdeck::gateway {

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view find_header(const header_list& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (equals_ignore_case(key, name)) {
            return value;
        }
    }
    return {};
}

}  // namespace burdockdeck::gateway
