#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief Wire formats of callers and endpoints, as strategies of the shell.

namespace hyssoprock {

/// @brief First message of a caller.
struct CallerStartup
{
    std::string database; ///< Database.
    std::string user;     ///< Who connects.
};

/// @brief The caller ends its session.
struct CallerTermination
{};

/// @brief Message of a caller.
using CallerMessage = std::variant<CallerStartup, Statement, CallerTermination>;

/// @brief Reads a caller's messages and writes answers. One object for each connection.
class CallerCodec
{
public:
    CallerCodec() = default;
    CallerCodec(const CallerCodec &) = delete;
    CallerCodec &operator=(const CallerCodec &) = delete;
    virtual ~CallerCodec() = default;

    /// @brief Takes received bytes.
    /// @param bytes Next bytes of the stream.
    virtual void feed(std::string_view bytes) = 0;
    /// @brief Takes the next complete message out.
    /// @return Nothing if more bytes are needed; MessageTooLarge or ProtocolViolation if the stream
    /// cannot be trusted any more. A statement that is framed well but not understood comes as
    /// StatementKind::Malformed.
    [[nodiscard]] virtual Result<std::optional<CallerMessage>> next() = 0;
    /// @brief Appends the answer to a startup that was accepted.
    virtual void encodeAccepted(std::string &output) const = 0;
    /// @brief Appends the answer to a startup that was refused.
    virtual void encodeRefused(AnswerKind kind, std::string_view text,
                               std::string &output) const = 0;
    /// @brief Appends the answer to a statement.
    virtual void encodeAnswer(const StatementAnswer &answer, std::string &output) const = 0;
};

/// @brief Writes commands to an endpoint and reads its answers. One object for each connection.
class EndpointCodec
{
public:
    EndpointCodec() = default;
    EndpointCodec(const EndpointCodec &) = delete;
    EndpointCodec &operator=(const EndpointCodec &) = delete;
    virtual ~EndpointCodec() = default;

    /// @brief Appends the first message.
    virtual void encodeStartup(std::string_view service, std::string_view user,
                               std::string_view endpoint, std::string &output) const = 0;
    /// @brief Appends a command.
    virtual void encodeCommand(const EndpointCommand &command, std::string &output) const = 0;
    /// @brief Takes received bytes.
    virtual void feed(std::string_view bytes) = 0;
    /// @brief Takes the next complete answer out. The first one answers the startup.
    /// @return Nothing if more bytes are needed; ProtocolViolation or MessageTooLarge if the stream
    /// cannot be trusted any more.
    [[nodiscard]] virtual Result<std::optional<StatementAnswer>> next() = 0;
};

/// @brief Makes the codecs of a deployment.
class CodecFactory
{
public:
    CodecFactory() = default;
    CodecFactory(const CodecFactory &) = delete;
    CodecFactory &operator=(const CodecFactory &) = delete;
    virtual ~CodecFactory() = default;

    [[nodiscard]] virtual std::unique_ptr<CallerCodec> makeCallerCodec() const = 0;
    [[nodiscard]] virtual std::unique_ptr<EndpointCodec> makeEndpointCodec() const = 0;
    /// @brief Reads a document as the operator sent it, and validates it.
    /// @param bytes The document.
    /// @return The document, or InvalidValue with the reason.
    [[nodiscard]] virtual Result<DeploymentDocument>
    parseDocument(std::string_view bytes) const = 0;
};

} // namespace hyssoprock
