#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief Interfaces for the wire formats of callers and endpoints.

namespace hyssoprock {

/// @brief First message of a caller.
struct CallerStartup
{
    std::string database;
    std::string user;
};

/// @brief Message by which a caller ends its session.
struct CallerTermination
{};

using CallerMessage = std::variant<CallerStartup, Statement, CallerTermination>;

/// @brief Decodes a caller's messages and encodes responses. One instance per connection.
class CallerCodec
{
public:
    CallerCodec() = default;
    CallerCodec(const CallerCodec &) = delete;
    CallerCodec &operator=(const CallerCodec &) = delete;
    virtual ~CallerCodec() = default;

    /// @brief Appends received bytes to the input buffer.
    virtual void feed(std::string_view bytes) = 0;
    /// @brief Removes and returns the next complete message.
    /// @return Empty if more bytes are needed; MessageTooLarge or ProtocolViolation if the stream
    /// can no longer be decoded. A statement that is framed correctly but cannot be parsed is
    /// returned as StatementKind::Malformed.
    [[nodiscard]] virtual Result<std::optional<CallerMessage>> next() = 0;
    /// @brief Memory that the input buffer occupies, in bytes.
    [[nodiscard]] virtual std::size_t bufferedBytes() const noexcept = 0;
    /// @brief Whether a message has been received only in part.
    [[nodiscard]] virtual bool hasPartialMessage() const noexcept = 0;
    /// @brief Appends the response to an accepted startup.
    virtual void encodeAccepted(std::string &output) const = 0;
    /// @brief Appends the response to a refused startup.
    virtual void encodeRefused(AnswerKind kind, std::string_view text,
                               std::string &output) const = 0;
    virtual void encodeAnswer(const StatementAnswer &answer, std::string &output) const = 0;
};

/// @brief Encodes commands to an endpoint and decodes its answers. One instance per connection.
class EndpointCodec
{
public:
    EndpointCodec() = default;
    EndpointCodec(const EndpointCodec &) = delete;
    EndpointCodec &operator=(const EndpointCodec &) = delete;
    virtual ~EndpointCodec() = default;

    /// @brief Appends the startup message.
    virtual void encodeStartup(std::string_view service, std::string_view user,
                               std::string_view endpoint, std::string &output) const = 0;
    virtual void encodeCommand(const EndpointCommand &command, std::string &output) const = 0;
    /// @brief Appends received bytes to the input buffer.
    virtual void feed(std::string_view bytes) = 0;
    /// @brief Removes and returns the next complete answer. The first one answers the startup.
    /// @return Empty if more bytes are needed; ProtocolViolation or MessageTooLarge if the stream
    /// can no longer be decoded.
    [[nodiscard]] virtual Result<std::optional<StatementAnswer>> next() = 0;
};

/// @brief Creates the codecs for connections and parses deployment documents.
class CodecFactory
{
public:
    CodecFactory() = default;
    CodecFactory(const CodecFactory &) = delete;
    CodecFactory &operator=(const CodecFactory &) = delete;
    virtual ~CodecFactory() = default;

    [[nodiscard]] virtual std::unique_ptr<CallerCodec> makeCallerCodec() const = 0;
    [[nodiscard]] virtual std::unique_ptr<EndpointCodec> makeEndpointCodec() const = 0;
    /// @brief Parses and validates a deployment document.
    /// @param bytes Document exactly as the operator sent it.
    /// @return InvalidValue with the reason if the document is not valid.
    [[nodiscard]] virtual Result<DeploymentDocument>
    parseDocument(std::string_view bytes) const = 0;
};

} // namespace hyssoprock
