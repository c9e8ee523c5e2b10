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
    FrameReader reader{bodyBytesMax};
    Read read;
    for (std::size_t begin = 0; begin < stream.size(); begin += piece) {
        reader.append(stream.substr(begin, piece));
        while (true) {
            auto next = reader.next();
            if (next.has_error()) {
                read.error = next.error();
                return read;
            }
            if (!next.value()) {
                break;
            }
            check(next.value()->body.size() <= bodyBytesMax, "an oversize frame is refused");
            read.frames.push_back(std::move(*next.value()));
        }
    }
    return read;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size <= prefixBytes) {
        return 0;
    }
    const std::string_view rest{reinterpret_cast<const char *>(data) + prefixBytes,
                                size - prefixBytes};
    std::string stream{rest};
    if (data[0] % 2 == 1) {
        // A frame with a valid checksum, and the input once more as what follows it.
        stream = encodeFrame(static_cast<FrameType>(data[2]), rest) + stream;
    }
    const auto whole = readInPieces(stream, stream.size());
    check(whole == readInPieces(stream, 1), "reading does not depend on the split");
    check(whole == readInPieces(stream, std::size_t{data[1]} + 1),
          "reading does not depend on the split");
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
