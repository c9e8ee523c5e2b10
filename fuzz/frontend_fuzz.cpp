// Decodes arbitrary bytes as messages of a PostgreSQL caller. The result must not depend on how the
// stream is split. The first byte sets the size of the pieces.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/pgwire/frontend_decoder.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

constexpr std::size_t messageBytesMax = 1000;

struct Decoded
{
    std::vector<pgwire::FrontendMessage> messages;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

Decoded decode(std::string_view stream, std::size_t piece)
{
    return fuzz::decodeInPieces(
        pgwire::FrontendDecoder{messageBytesMax}, stream, piece,
        [](auto &decoder, std::string_view bytes) { decoder.append(bytes); }, Decoded{},
        [](Decoded &decoded, pgwire::FrontendMessage message) {
            decoded.messages.push_back(std::move(message));
        },
        [piece](const auto &decoder, const Decoded &decoded) {
            check(decoded.error || decoder.bufferedBytes() <= pgwire::startupBytesMax + piece,
                  "at most one message is buffered");
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    (void)fuzz::decodeInAnyPieces(&decode, fuzz::inputAfter(data, size, 1), data[0]);
    return 0;
}
