#pragma once

#include <hyssoprock/request/endpoint_dialect.hpp>

/// @file
/// @brief Dialect of PostgreSQL endpoints.

namespace hyssoprock::sql {

/// @brief Encodes each command as one simple query, see section 5 of docs/design.md.
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
