#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/frame_type.hpp>

/// @file
/// @brief Frames that carry messages between processes, over TCP or UDP.
///
/// Header, in network byte order: body length (u32), version (u16), type (u16), XXH64 of the body
/// (u64). The body follows.

namespace hyssoprock {

/// @brief Size of the header.
constexpr std::size_t frameHeaderBytes = 16;

/// @brief Protocol version in each header; frames of any other version are rejected.
constexpr std::uint16_t frameVersion = 1;

/// @brief Largest body on a TCP connection. The largest message is a snapshot of the catalogue.
constexpr std::size_t frameBodyBytesMax = std::size_t{64} * 1024 * 1024;

/// @brief Largest body of a datagram: the UDP payload limit over IPv4, less the header.
constexpr std::size_t datagramBodyBytesMax = 65507 - frameHeaderBytes;

/// @brief A message type and its encoded body.
struct Frame
{
    FrameType type{};   ///< Type of the message.
    std::string body{}; ///< Encoded message.

    [[nodiscard]] bool operator==(const Frame &) const = default;
};

/// @brief Encodes a frame.
/// @param type Type of the message.
/// @param body Encoded message, at most frameBodyBytesMax.
/// @return Header and body.
[[nodiscard]] std::string encodeFrame(FrameType type, std::string_view body);

/// @brief Encodes a message and its frame header.
/// @param message Any message that has a frame type.
/// @return Header and body.
template <class Message>
[[nodiscard]] std::string frameOf(const Message &message)
{
    return encodeFrame(FrameTypeOf<Message>::value, encode(message));
}

/// @brief Encoded frame that can be queued for several peers without being copied.
using SharedFrame = std::shared_ptr<const std::string>;

/// @brief Encodes a message and its frame header, for several peers.
/// @param message Any message that has a frame type.
/// @return Header and body; never null.
template <class Message>
[[nodiscard]] SharedFrame sharedFrameOf(const Message &message)
{
    return std::make_shared<const std::string>(frameOf(message));
}

/// @brief Whether a frame has the frame type of Message.
template <class Message>
[[nodiscard]] bool holds(const Frame &frame) noexcept
{
    return frame.type == FrameTypeOf<Message>::value;
}

/// @brief Decodes the message in a frame.
/// @param frame Frame of that message's type.
/// @return The message; ProtocolViolation if the frame has another type or an invalid body.
template <class Message>
[[nodiscard]] Result<Message> decodeMessage(const Frame &frame)
{
    if (!holds<Message>(frame)) {
        return failure(ErrorKind::ProtocolViolation,
                       "frame type " + std::to_string(static_cast<unsigned>(frame.type))
                           + " is not expected here");
    }
    return decode<Message>(frame.body);
}

/// @brief Decodes a datagram, which holds exactly one frame.
/// @param bytes The datagram.
/// @return The frame, or UnsupportedVersion, MessageTooLarge, ChecksumMismatch or
/// ProtocolViolation.
[[nodiscard]] Result<Frame> decodeDatagram(std::string_view bytes);

/// @brief Splits a byte stream into frames. After an error the stream cannot be read further.
class FrameReader
{
public:
    /// @brief Starts at a frame boundary.
    /// @param bodyBytesMax Largest body that is accepted.
    explicit FrameReader(std::size_t bodyBytesMax = frameBodyBytesMax) noexcept
        : bodyBytesMax_{bodyBytesMax}
    {}

    /// @brief Appends received bytes.
    /// @param bytes Next bytes of the stream.
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// @brief Removes and returns the next frame.
    /// @return The frame; std::nullopt if it is incomplete; or UnsupportedVersion, MessageTooLarge
    /// or ChecksumMismatch. An oversized frame is rejected as soon as its header is complete.
    [[nodiscard]] Result<std::optional<Frame>> next();

    /// @brief Memory that the buffer occupies, in bytes.
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return buffer_.capacity(); }

    /// @brief Whether a frame has been received only in part.
    [[nodiscard]] bool hasPartialFrame() const noexcept { return buffer_.size() > consumed_; }

private:
    std::size_t bodyBytesMax_;
    std::string buffer_{};
    std::size_t consumed_ = 0;
};

} // namespace hyssoprock
