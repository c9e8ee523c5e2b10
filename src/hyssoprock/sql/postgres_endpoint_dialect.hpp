#pragma once

#include <hyssoprock/request/endpoint_dialect.hpp>

/// @file
/// @brief Commands as simple queries of PostgreSQL.

namespace hyssoprock::sql {

/// @brief Sends a command as one simple query; see section 5 of docs/design.md for the statements.
class PostgresEndpointDialect final : public EndpointDialect
{
public:
    [[nodiscard]] EndpointQuery encode(const RequestCommand &command) const override;
    [[nodiscard]] EndpointAnswer interpret(const ExpectedAnswer &expected,
                                           EndpointAnswer answer) const override;
    [[nodiscard]] AnswerPart interpretPart(const ExpectedAnswer &expected,
                                           AnswerPart part) const override;
};

} // namespace hyssoprock::sql
