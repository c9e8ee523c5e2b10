#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <type_traits>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

/// @file
/// @brief Decoding of a stream in pieces, for fuzz targets.

namespace hyssoprock::fuzz {

/// @brief Input of a target whose first bytes choose how the rest is used.
/// @param data Input.
/// @param size Its size.
/// @param skip Number of those bytes; at most size.
[[nodiscard]] inline std::string_view rest(const std::uint8_t *data, std::size_t size,
                                           std::size_t skip)
{
    return {reinterpret_cast<const char *>(data) + skip, size - skip};
}

/// @brief What the check between two pieces is unless a target has one.
struct NoCheck
{
    template <class Decoder, class Decoded>
    void operator()(const Decoder & /*decoder*/, const Decoded & /*decoded*/) const
    {}
};

/// @brief Feeds a stream piece by piece and takes out every message, up to the first error.
/// @param decoder Its next() gives a Result of an optional message; an error must be final.
/// @param stream The stream.
/// @param piece Bytes in a piece, at least 1.
/// @param feed Called as feed(decoder, bytes).
/// @param decoded Has a member `error`; given to take and back as the result.
/// @param take Called as take(decoded, message).
/// @param afterPiece Called as afterPiece(decoder, decoded).
template <class Decoder, class Feed, class Decoded, class Take, class AfterPiece = NoCheck>
[[nodiscard]] Decoded decodeInPieces(Decoder decoder, std::string_view stream, std::size_t piece,
                                     Feed feed, Decoded decoded, Take take,
                                     AfterPiece afterPiece = {})
{
    for (std::size_t begin = 0; begin < stream.size() && !decoded.error; begin += piece) {
        feed(decoder, stream.substr(begin, piece));
        while (!decoded.error) {
            auto next = decoder.next();
            if (next.has_error()) {
                decoded.error = next.error();
                check(decoder.next().has_error(), "an error is final");
            } else if (!next.value()) {
                break;
            } else {
                take(decoded, std::move(*next.value()));
            }
        }
        afterPiece(decoder, decoded);
    }
    return decoded;
}

/// @brief Checks that the result does not depend on how a stream is split.
/// @param decode Called as decode(stream, piece).
/// @param stream The stream, not empty.
/// @param byte Gives the size of the pieces of one of the splits.
/// @return The result for the whole stream.
template <class Decode>
[[nodiscard]] auto decodeInAnyPieces(Decode decode, std::string_view stream, std::uint8_t byte)
{
    auto whole = decode(stream, stream.size());
    check(whole == decode(stream, 1), "decoding does not depend on the split");
    check(whole == decode(stream, std::size_t{byte} + 1), "decoding does not depend on the split");
    return whole;
}

} // namespace hyssoprock::fuzz
