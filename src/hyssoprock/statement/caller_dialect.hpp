#pragma once

#include <string>

#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief Interface between the language of callers and typed statements.

namespace hyssoprock {

/// @brief Translates what callers write. Implementations are stateless.
class CallerDialect
{
public:
    CallerDialect() = default;
    CallerDialect(const CallerDialect &) = delete;
    CallerDialect &operator=(const CallerDialect &) = delete;
    virtual ~CallerDialect() = default;

    /// @brief Translates one message of a caller.
    /// @param text The message; kept as it is in the statement.
    /// @return The statement. A text that is not understood is a write.
    [[nodiscard]] virtual CallerStatement translate(std::string text) const = 0;
};

} // namespace hyssoprock
