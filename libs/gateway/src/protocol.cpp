// Case-insensitive look-up of headers.
#include "gateway/protocol.h"

#include <algorithm>
#include <cctype>

namespace burdockdeck::gateway {

bool same_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view header_in(const header_list& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (same_name(key, name)) {
            return value;
        }
    }
    return {};
}

}  // namespace burdockdeck::gateway
