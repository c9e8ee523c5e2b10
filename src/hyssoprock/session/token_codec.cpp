#include <hyssoprock/session/token_codec.hpp>

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/session/base64_url.hpp>

namespace hyssoprock {

namespace {

constexpr char tokenVersion = 1;
constexpr std::size_t macBytes = 32;

struct TokenEntry
{
    std::string group{};
    LogPosition position{};
    bool established = false;
};

template <class Archive>
void serialize(Archive &archive, TokenEntry &entry)
{
    archive(entry.group, entry.position, entry.established);
}

struct TokenBody
{
    std::vector<TokenEntry> entries{};
};

template <class Archive>
void serialize(Archive &archive, TokenBody &body)
{
    archive(body.entries);
}

std::string sign(const std::string &key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned int length = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    const auto *result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data,
                              bytes.size(), mac.data(), &length);
    check(result != nullptr && length == macBytes, "HMAC-SHA256 gives 32 bytes");
    return {reinterpret_cast<const char *>(mac.data()), macBytes};
}

constexpr std::size_t encodedSize(std::size_t bytes)
{
    return (bytes * 4 + 2) / 3;
}

} // namespace

TokenCodec::TokenCodec(std::string key)
    : key_{std::move(key)}
{
    check(key_.size() >= keyBytesMin, "a token key has at least 16 bytes");
}

std::string TokenCodec::encode(const SessionFloor &floor) const
{
    TokenBody body;
    for (const auto &[group, entry] : floor.entries()) {
        body.entries.push_back({group, entry.position, entry.established});
    }
    std::string bytes = tokenVersion + hyssoprock::encode(body);
    while (encodedSize(bytes.size() + macBytes) > tokenBytesMax) {
        body.entries.pop_back();
        bytes = tokenVersion + hyssoprock::encode(body);
    }
    return internal::encodeBase64Url(bytes + sign(key_, bytes));
}

Result<SessionFloor> TokenCodec::decode(std::string_view token) const
{
    if (token.size() > tokenBytesMax) {
        return failure(ErrorKind::InvalidToken, "longer than 4096 bytes");
    }
    const auto bytes = internal::decodeBase64Url(token);
    if (!bytes) {
        return failure(ErrorKind::InvalidToken, "not base64url");
    }
    if (bytes->size() <= macBytes) {
        return failure(ErrorKind::InvalidToken, "truncated");
    }
    const auto signedPart = std::string_view{*bytes}.substr(0, bytes->size() - macBytes);
    const auto mac = sign(key_, signedPart);
    if (CRYPTO_memcmp(mac.data(), bytes->data() + signedPart.size(), macBytes) != 0) {
        return failure(ErrorKind::InvalidToken, "signature does not match");
    }
    if (signedPart.front() != tokenVersion) {
        return failure(ErrorKind::InvalidToken, "unknown version");
    }
    const auto body = hyssoprock::decode<TokenBody>(std::string{signedPart.substr(1)});
    if (!body.has_value()) {
        return failure(ErrorKind::InvalidToken, "body cannot be read");
    }
    SessionFloor floor;
    for (const auto &entry : body.value().entries) {
        floor.establish(entry.group, entry.position);
        if (!entry.established) {
            floor.invalidate(entry.group);
        }
    }
    return floor;
}

} // namespace hyssoprock
