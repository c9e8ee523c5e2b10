// Decodes arbitrary text as a session token, and arbitrary bytes as the body of a token with a
// valid signature. A decoded floor must encode to a token that decodes to the same floor, or to a
// lower one if entries were dropped.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/session/base64_url.hpp>
#include <hyssoprock/session/token_codec.hpp>

namespace {

using namespace hyssoprock;

const std::string key = "a secret of the fuzz target";

std::string signToken(std::string bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), mac.data(), &length);
    bytes.append(reinterpret_cast<const char *>(mac.data()), length);
    return internal::encodeBase64Url(bytes);
}

void checkToken(const TokenCodec &codec, std::string_view token)
{
    const auto floor = codec.decode(token);
    if (floor.has_error()) {
        check(floor.error().kind == ErrorKind::InvalidToken, "the error is an invalid token");
        return;
    }
    const auto decodedAgain = codec.decode(codec.encode(floor.value()));
    check(decodedAgain.has_value(), "an encoded token decodes");
    check(floor.value().covers(decodedAgain.value()), "a token never raises a floor by itself");
    if (floor.value().entries().size() == decodedAgain.value().entries().size()) {
        check(decodedAgain.value() == floor.value(), "a floor survives a round trip");
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes{reinterpret_cast<const char *>(data), size};
    const TokenCodec codec{key};
    check(internal::decodeBase64Url(internal::encodeBase64Url(bytes)) == bytes,
          "bytes survive base64url");
    checkToken(codec, bytes);
    checkToken(codec, signToken(std::string{bytes}));
    return 0;
}
