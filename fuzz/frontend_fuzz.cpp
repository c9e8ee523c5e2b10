// Decodes arbitrary bytes as a caller's messages; the result must not depend on how the stream is
// split. The first byte gives the size of the pieces.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/pgwire/frontend_decoder.hpp>

namespace {

using namespace hyssoprock;

constexpr std::size_t sizeLimit = 1000;

struct Decoded
{
    std::vector<pgwire::FrontendMessage> messages;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

Decoded decodeInPieces(std::string_view stream, std::size_t piece)
{
    pgwire::FrontendDecoder decoder{sizeLimit};
    Decoded decoded;
    for (std::size_t begin = 0; begin < stream.size() && !decoded.error; begin += piece) {
        decoder.append(stream.substr(begin, piece));
        while (true) {
            auto next = decoder.next();
            if (next.has_error()) {
                decoded.error = next.error();
                check(decoder.next().has_error(), "an error is final");
                break;
            }
            if (!next.value()) {
                break;
            }
            decoded.messages.push_back(std::move(*next.value()));
        }
        check(decoded.error || decoder.bufferedBytes() <= pgwire::startupSizeLimit + piece,
              "at most one message is buffered");
    }
    return decoded;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::string_view stream{reinterpret_cast<const char *>(data) + 1, size - 1};
    const auto whole = decodeInPieces(stream, stream.size());
    check(whole == decodeInPieces(stream, 1), "decoding does not depend on the split");
    check(whole == decodeInPieces(stream, std::size_t{data[0]} + 1),
          "decoding does not depend on the split");
    return 0;
}
