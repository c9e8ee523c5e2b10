#pragma once

#include <string>

#include <hyssoprock/statement/caller_dialect.hpp>

/// @file
/// @brief Dialect of PostgreSQL callers.

namespace hyssoprock::sql {

/// @brief Classifies statements by a few keywords, erring on the safe side. SQL is not parsed.
class PostgresCallerDialect final : public CallerDialect
{
public:
    [[nodiscard]] CallerStatement translate(std::string text) const override;
};

} // namespace hyssoprock::sql
