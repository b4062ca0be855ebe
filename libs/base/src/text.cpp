// UTF-8 checks implemented with Boost.Locale's decoder.
#include "base/text.h"

#include <boost/locale/utf.hpp>

namespace burdockdeck {

namespace {

constexpr std::string_view replacement_character = "\xEF\xBF\xBD";

// Length of the well-formed character at the start of `text`; 0 if there is none.
std::size_t character_length(std::string_view text) {
    namespace utf = boost::locale::utf;
    const char* at = text.data();
    const utf::code_point c = utf::utf_traits<char>::decode(at, text.data() + text.size());
    const bool well_formed = c != utf::illegal && c != utf::incomplete;
    return well_formed ? static_cast<std::size_t>(at - text.data()) : 0;
}

}  // namespace

bool is_utf8(std::string_view text) {
    while (!text.empty()) {
        const std::size_t length = character_length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::string to_utf8(std::string_view text) {
    std::string out;
    while (!text.empty()) {
        const std::size_t length = character_length(text);
        out += length == 0 ? replacement_character : text.substr(0, length);
        text.remove_prefix(length == 0 ? 1 : length);
    }
    return out;
}

}  // namespace burdockdeck
