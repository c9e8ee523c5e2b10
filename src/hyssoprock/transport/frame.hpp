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
/// @brief Frames that carry messages between processes, over TCP and UDP alike.
///
/// Header, in network byte order: body length (u32), version (u16), type (u16), XXH64 of the body
/// (u64). The body follows.

namespace hyssoprock {

/// @brief Bytes of a frame's header.
constexpr std::size_t frameHeaderBytes = 16;

/// @brief Version written into each header; another one is refused.
constexpr std::uint16_t frameVersion = 1;

/// @brief Largest body on a TCP connection. A snapshot of the catalogue is the largest message.
constexpr std::size_t frameBodyBytesMax = std::size_t{64} * 1024 * 1024;

/// @brief Largest body of a datagram: what UDP over IPv4 carries, less the header.
constexpr std::size_t datagramBodyBytesMax = 65507 - frameHeaderBytes;

/// @brief A message type and its encoded body.
struct Frame
{
    FrameType type{};   ///< Type of the message.
    std::string body{}; ///< Bytes of the message.

    [[nodiscard]] bool operator==(const Frame &) const = default;
};

/// @brief Bytes of a frame.
/// @param type Type of the message.
/// @param body Encoded message, at most frameBodyBytesMax.
/// @return Header and body.
[[nodiscard]] std::string encodeFrame(FrameType type, std::string_view body);

/// @brief Bytes of a framed message.
/// @param message Any message that has a frame type.
/// @return Header and body.
template <class Message>
[[nodiscard]] std::string frameOf(const Message &message)
{
    return encodeFrame(FrameTypeOf<Message>::value, encode(message));
}

/// @brief Bytes of a frame that may wait for several peers without being copied.
using SharedFrame = std::shared_ptr<const std::string>;

/// @brief Bytes of a framed message, for several peers.
/// @param message Any message that has a frame type.
/// @return Header and body; never null.
template <class Message>
[[nodiscard]] SharedFrame sharedFrameOf(const Message &message)
{
    return std::make_shared<const std::string>(frameOf(message));
}

/// @brief Whether a frame holds a message of a type.
/// @param frame Any frame.
/// @return Whether its type is that of Message.
template <class Message>
[[nodiscard]] bool holds(const Frame &frame) noexcept
{
    return frame.type == FrameTypeOf<Message>::value;
}

/// @brief Message in a frame.
/// @param frame Frame of that message's type.
/// @return The message, or ProtocolViolation.
template <class Message>
[[nodiscard]] Result<Message> messageIn(const Frame &frame)
{
    if (!holds<Message>(frame)) {
        return failure(ErrorKind::ProtocolViolation,
                       "frame type " + std::to_string(static_cast<unsigned>(frame.type))
                           + " is not expected here");
    }
    return decode<Message>(frame.body);
}

/// @brief Reads a datagram, which holds exactly one frame.
/// @param bytes The datagram.
/// @return The frame, or UnsupportedVersion, MessageTooLarge, ChecksumMismatch or
/// ProtocolViolation.
[[nodiscard]] Result<Frame> decodeDatagram(std::string_view bytes);

/// @brief Cuts a stream of bytes into frames. After an error the stream cannot be read further.
class FrameReader
{
public:
    /// @brief Starts at a frame's first byte.
    /// @param bodyBytesMax Largest body that is accepted.
    explicit FrameReader(std::size_t bodyBytesMax = frameBodyBytesMax) noexcept
        : bodyBytesMax_{bodyBytesMax}
    {}

    /// @brief Takes bytes that have arrived.
    /// @param bytes Next bytes of the stream.
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// @brief Takes the next frame out.
    /// @return The frame; nothing if it has not arrived in full; or UnsupportedVersion,
    /// MessageTooLarge or ChecksumMismatch. An oversize frame is refused by its header alone.
    [[nodiscard]] Result<std::optional<Frame>> next();

    /// @brief Whether a frame has begun and not ended, so that the peer owes the rest of it.
    /// @return True between two bytes of one frame.
    [[nodiscard]] bool midFrame() const noexcept { return buffer_.size() > consumed_; }

private:
    std::size_t bodyBytesMax_;
    std::string buffer_{};
    std::size_t consumed_ = 0;
};

} // namespace hyssoprock
