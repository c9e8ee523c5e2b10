#include <hyssoprock/daemon/json_text.hpp>

#include <cstdio>

namespace hyssoprock {

std::string jsonString(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    std::string quoted = "\"";
    for (const char letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            quoted += '\\';
            quoted += letter;
        } else if (code < firstPrintable) {
            char escaped[7];
            std::snprintf(escaped, sizeof escaped, "\\u%04x", static_cast<unsigned>(code));
            quoted += escaped;
        } else {
            quoted += letter;
        }
    }
    return quoted + "\"";
}

} // namespace hyssoprock
