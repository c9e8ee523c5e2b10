#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/request/endpoint_command.hpp>
#include <hyssoprock/request/session_events.hpp>

/// @file
/// @brief Interface between typed commands and the language of endpoints.

namespace hyssoprock {

/// @brief What a dialect must remember of a command to understand its answer.
struct ExpectedAnswer
{
    std::uint32_t proxyResultsBefore =
        0;                               ///< Results of the proxy's statements before the caller's.
    std::uint32_t proxyResultsAfter = 0; ///< Results of the proxy's statements after the caller's.
    bool wrapInTransaction = false;      ///< ForwardStatement::wrapInTransaction.
    bool atomic = false;                 ///< ForwardStatement::atomic.
    bool lookUp = false;                 ///< It was LookUpRequestId.
};

/// @brief A command as an endpoint understands it.
struct EndpointQuery
{
    std::string text{};        ///< Text to send.
    ExpectedAnswer expected{}; ///< To be kept until its answer.
};

/// @brief Makes the text of commands and understands the answers. Implementations are stateless.
class EndpointDialect
{
public:
    EndpointDialect() = default;
    EndpointDialect(const EndpointDialect &) = delete;
    EndpointDialect &operator=(const EndpointDialect &) = delete;
    virtual ~EndpointDialect() = default;

    /// @brief Makes the text of a command.
    [[nodiscard]] virtual EndpointQuery encode(const RequestCommand &command) const = 0;

    /// @brief Removes the proxy's own results from an answer and classifies it.
    /// @param expected From encode().
    /// @param answer Answer as the endpoint sent it, with `kind` not yet set.
    /// @return The answer that the session machine handles.
    [[nodiscard]] virtual EndpointAnswer interpret(const ExpectedAnswer &expected,
                                                   EndpointAnswer answer) const = 0;

    /// @brief Numbers a part of an answer without the proxy's own results.
    /// @param expected From encode().
    /// @param part Part with the index of the endpoint's result.
    /// @return The part that the session machine handles.
    [[nodiscard]] virtual AnswerPart interpretPart(const ExpectedAnswer &expected,
                                                   AnswerPart part) const = 0;
};

} // namespace hyssoprock
