// Decodes arbitrary bytes as frames, unchanged or with a valid checksum. The result must not depend
// on how the stream is split, and a decoded frame must encode to the same bytes.

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

struct Decoded
{
    std::vector<Frame> frames;
    std::optional<Error> error;

    [[nodiscard]] bool operator==(const Decoded &) const = default;
};

Decoded decodeFrames(std::string_view stream, std::size_t piece)
{
    return fuzz::decodeInPieces(
        FrameReader{bodyBytesMax}, stream, piece,
        [](auto &reader, std::string_view bytes) { reader.append(bytes); }, Decoded{},
        [](Decoded &decoded, Frame frame) {
            check(frame.body.size() <= bodyBytesMax, "an oversize frame is rejected");
            decoded.frames.push_back(std::move(frame));
        });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size <= prefixBytes) {
        return 0;
    }
    const auto rest = fuzz::inputAfter(data, size, prefixBytes);
    std::string stream{rest};
    if (data[0] % 2 == 1) {
        // A frame with a valid checksum, followed by the input as it is.
        stream = encodeFrame(static_cast<FrameType>(data[2]), rest) + stream;
    }
    const auto whole = fuzz::decodeInAnyPieces(&decodeFrames, stream, data[1]);
    std::string encoded;
    for (const auto &frame : whole.frames) {
        encoded += encodeFrame(frame.type, frame.body);
    }
    check(stream.starts_with(encoded), "a frame encodes to the bytes that it was decoded from");
    if (const auto datagram = decodeDatagram(stream); datagram.has_value()) {
        check(encodeFrame(datagram.value().type, datagram.value().body) == stream,
              "a datagram holds exactly one frame");
    }
    return 0;
}
