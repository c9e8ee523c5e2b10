#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/pgwire/frontend_message.hpp>

/// @file
/// @brief Incremental decoder of frontend messages.

namespace hyssoprock::pgwire {

/// @brief Maximum size of a startup message; the same limit as in PostgreSQL servers.
inline constexpr std::size_t startupBytesMax = 10000;

/// @brief Decodes a byte stream, which may be received in parts of any size, into messages.
///
/// After an error the position in the stream is lost. Each later call returns the same error, and
/// the connection must be closed.
class FrontendDecoder
{
public:
    /// @param messageBytesMax Maximum size of a message after startup, including its length field.
    explicit FrontendDecoder(std::size_t messageBytesMax);

    /// @brief Adds received bytes.
    /// @param bytes Next part of the stream. Call next() afterwards until it returns std::nullopt,
    /// so that at most one message is buffered.
    void append(std::string_view bytes);

    /// @brief Decodes the next message.
    /// @return The message, std::nullopt if more bytes are needed, or ProtocolViolation,
    /// MessageTooLarge or UnsupportedVersion.
    [[nodiscard]] Result<std::optional<FrontendMessage>> next();

    /// @brief Whether the startup message has not been decoded yet.
    [[nodiscard]] bool inStartup() const noexcept { return inStartup_; }

    /// @brief Number of received bytes that are not decoded yet.
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
