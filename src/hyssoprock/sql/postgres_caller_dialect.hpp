#pragma once

#include <string>

#include <hyssoprock/statement/caller_dialect.hpp>

/// @file
/// @brief SQL as PostgreSQL callers write it.

namespace hyssoprock::sql {

/// @brief Recognises a few keywords conservatively; SQL is not parsed.
class PostgresCallerDialect final : public CallerDialect
{
public:
    [[nodiscard]] CallerStatement translate(std::string text) const override;
};

} // namespace hyssoprock::sql
