#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/request/endpoint_command.hpp>
#include <hyssoprock/request/session_events.hpp>

/// @file
/// @brief Interface that translates typed commands to the query language of endpoints.

namespace hyssoprock {

/// @brief Describes the answer to a command, so that the dialect can interpret it.
struct ExpectedAnswer
{
    std::uint32_t proxyResultsBefore = 0; ///< Number of proxy results before the caller's.
    std::uint32_t proxyResultsAfter = 0;  ///< Number of proxy results after the caller's.
    bool wrapInTransaction = false;       ///< ForwardStatement::wrapInTransaction.
    bool atomic = false;                  ///< ForwardStatement::atomic.
    bool lookUp = false;                  ///< The command is LookUpRequestId.
};

/// @brief A command encoded for an endpoint.
struct EndpointQuery
{
    std::string text{};        ///< Query text.
    ExpectedAnswer expected{}; ///< Needed to interpret the answer.
};

/// @brief Encodes commands and interprets their answers. Implementations are stateless.
class EndpointDialect
{
public:
    EndpointDialect() = default;
    EndpointDialect(const EndpointDialect &) = delete;
    EndpointDialect &operator=(const EndpointDialect &) = delete;
    virtual ~EndpointDialect() = default;

    /// @brief Encodes a command as query text.
    [[nodiscard]] virtual EndpointQuery encode(const RequestCommand &command) const = 0;

    /// @brief Removes the proxy's own results from an answer and classifies it.
    /// @param expected Value returned by encode().
    /// @param answer Answer as received from the endpoint, with `kind` not yet set.
    /// @return The answer for the session machine.
    [[nodiscard]] virtual EndpointAnswer interpret(const ExpectedAnswer &expected,
                                                   EndpointAnswer answer) const = 0;

    /// @brief Renumbers a partial answer so that the proxy's own results are not counted.
    /// @param expected Value returned by encode().
    /// @param part Partial answer with the result index of the endpoint.
    /// @return The partial answer for the session machine.
    [[nodiscard]] virtual AnswerPart interpretPart(const ExpectedAnswer &expected,
                                                   AnswerPart part) const = 0;
};

} // namespace hyssoprock
