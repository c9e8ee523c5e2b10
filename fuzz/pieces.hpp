#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <type_traits>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

/// @file
/// @brief Decoding of a stream in pieces of different sizes, for fuzz targets.

namespace hyssoprock::fuzz {

/// @brief The input after the first bytes, which select how a target uses it.
/// @param data Input.
/// @param size Size of the input in bytes.
/// @param skip Number of bytes to skip, at most size.
[[nodiscard]] inline std::string_view inputAfter(const std::uint8_t *data, std::size_t size,
                                                 std::size_t skip)
{
    return {reinterpret_cast<const char *>(data) + skip, size - skip};
}

/// @brief Default check after each piece, which accepts everything.
struct NoPieceCheck
{
    template <class Decoder, class Decoded>
    void operator()(const Decoder & /*decoder*/, const Decoded & /*decoded*/) const
    {}
};

/// @brief Feeds a stream to a decoder piece by piece and collects all messages up to the first
/// error.
/// @param decoder Its next() returns a Result of an optional message; an error must be final.
/// @param stream Bytes to decode.
/// @param pieceBytes Size of a piece, at least 1.
/// @param feed Called as feed(decoder, bytes).
/// @param decoded Initial result, with a member `error`.
/// @param addMessage Called as addMessage(decoded, message) for each message.
/// @param afterPiece Called as afterPiece(decoder, decoded) after each piece.
/// @return The filled result.
template <class Decoder, class Feed, class Decoded, class Take, class AfterPiece = NoPieceCheck>
[[nodiscard]] Decoded decodeInPieces(Decoder decoder, std::string_view stream,
                                     std::size_t pieceBytes, Feed feed, Decoded decoded,
                                     Take addMessage, AfterPiece afterPiece = {})
{
    for (std::size_t begin = 0; begin < stream.size() && !decoded.error; begin += pieceBytes) {
        feed(decoder, stream.substr(begin, pieceBytes));
        while (!decoded.error) {
            auto next = decoder.next();
            if (next.has_error()) {
                decoded.error = next.error();
                check(decoder.next().has_error(), "an error is final");
            } else if (!next.value()) {
                break;
            } else {
                addMessage(decoded, std::move(*next.value()));
            }
        }
        afterPiece(decoder, decoded);
    }
    return decoded;
}

/// @brief Checks that the result does not depend on how a stream is split.
/// @param decode Called as decode(stream, pieceBytes).
/// @param stream Bytes to decode, not empty.
/// @param pieceByte Size of the pieces in one of the splits, minus 1.
/// @return The result for the whole stream.
template <class Decode>
[[nodiscard]] auto decodeInAnyPieces(Decode decode, std::string_view stream, std::uint8_t pieceByte)
{
    auto whole = decode(stream, stream.size());
    check(whole == decode(stream, 1), "decoding does not depend on the split");
    check(whole == decode(stream, std::size_t{pieceByte} + 1),
          "decoding does not depend on the split");
    return whole;
}

} // namespace hyssoprock::fuzz
