#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/pgwire/frontend_message.hpp>

/// @file
/// @brief Incremental decoder of a caller's messages.

namespace hyssoprock::pgwire {

/// @brief Largest startup message; PostgreSQL servers have the same bound.
inline constexpr std::size_t startupBytesMax = 10000;

/// @brief Turns a byte stream into messages. It does not matter how the stream is split.
///
/// After an error the stream cannot be trusted any more: every later call gives the same error, and
/// the connection is to be closed.
class FrontendDecoder
{
public:
    /// @brief Starts before the startup message.
    /// @param messageBytesMax Largest message after startup, in bytes, with its length field.
    explicit FrontendDecoder(std::size_t messageBytesMax);

    /// @brief Adds received bytes.
    /// @param bytes Any part of the stream. Call next() until it gives nothing after each call, so
    /// that no more than one message is buffered.
    void append(std::string_view bytes);

    /// @brief Takes the next message.
    /// @return The message, nothing if more bytes are needed, or ProtocolViolation, MessageTooLarge
    /// or UnsupportedVersion.
    [[nodiscard]] Result<std::optional<FrontendMessage>> next();

    /// @brief Whether the startup message has not been seen yet.
    /// @return True before the startup message.
    [[nodiscard]] bool inStartup() const noexcept { return inStartup_; }

    /// @brief Bytes that have been received but not yet been given out as a message.
    /// @return Number of bytes.
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return buffer_.size() - offset_; }

private:
    [[nodiscard]] Result<std::optional<FrontendMessage>> decodeNext();
    [[nodiscard]] Result<std::optional<FrontendMessage>> nextStartup();
    [[nodiscard]] Result<std::optional<FrontendMessage>> nextRegular();
    void consume(std::size_t bytes);

    std::string buffer_;
    std::size_t offset_ = 0;
    std::size_t messageBytesMax_;
    bool inStartup_ = true;
    std::optional<Error> error_;
};

} // namespace hyssoprock::pgwire
