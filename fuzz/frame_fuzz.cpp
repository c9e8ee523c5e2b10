// Reads arbitrary bytes as frames, as they are or with a valid checksum; the result must not depend
// on how the stream is split, and a frame that is read must encode to the same bytes.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/transport/frame.hpp>

#include "pieces.hpp"

namespace {

using namespace hyssoprock;

constexpr std::size_t bodyBytesMax = 2000;
constexpr std::size_t prefixBytes = 3; ///< Mode, size of the pieces, frame type.

struct Read
{
    std::vector<Frame> frames;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Read &) const = default;
};

Read readInPieces(std::string_view stream, std::size_t piece)
{
    return fuzz::decodeInPieces(
        FrameReader{bodyBytesMax}, stream, piece,
        [](auto &reader, std::string_view bytes) { reader.append(bytes); }, Read{},
        [](Read &read, Frame frame) {
            check(frame.body.size() <= bodyBytesMax, "an oversize frame is refused");
            read.frames.push_back(std::move(frame));
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size <= prefixBytes) {
        return 0;
    }
    const auto rest = fuzz::rest(data, size, prefixBytes);
    std::string stream{rest};
    if (data[0] % 2 == 1) {
        // A frame with a valid checksum, and the input once more as what follows it.
        stream = encodeFrame(static_cast<FrameType>(data[2]), rest) + stream;
    }
    const auto whole = fuzz::decodeInAnyPieces(&readInPieces, stream, data[1]);
    std::string again;
    for (const auto &frame : whole.frames) {
        again += encodeFrame(frame.type, frame.body);
    }
    check(stream.starts_with(again), "a frame encodes to the bytes that it was read from");
    if (const auto datagram = decodeDatagram(stream); datagram.has_value()) {
        check(encodeFrame(datagram.value().type, datagram.value().body) == stream,
              "a datagram holds exactly one frame");
    }
    return 0;
}
