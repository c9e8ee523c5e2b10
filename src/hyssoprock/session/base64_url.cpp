#include <hyssoprock/session/base64_url.hpp>

#include <cstdint>

namespace hyssoprock::internal {

namespace {

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned digitBits = 6;
constexpr unsigned byteBits = 8;

} // namespace

std::string encodeBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    std::uint32_t pending = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        pending = (pending << byteBits) | static_cast<unsigned char>(byte);
        bits += byteBits;
        while (bits >= digitBits) {
            bits -= digitBits;
            text.push_back(alphabet[(pending >> bits) & 63U]);
        }
    }
    if (bits > 0) {
        text.push_back(alphabet[(pending << (digitBits - bits)) & 63U]);
    }
    return text;
}

std::optional<std::string> decodeBase64Url(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t pending = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const auto digit = alphabet.find(character);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        pending = (pending << digitBits) | static_cast<std::uint32_t>(digit);
        bits += digitBits;
        if (bits >= byteBits) {
            bits -= byteBits;
            bytes.push_back(static_cast<char>((pending >> bits) & 255U));
        }
    }
    // Remaining bits must be zero and fewer than a digit, so that each value has one encoding.
    if (bits >= digitBits || (pending & ((1U << bits) - 1U)) != 0) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace hyssoprock::internal
