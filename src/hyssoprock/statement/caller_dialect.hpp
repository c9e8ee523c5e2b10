#pragma once

#include <string>

#include <hyssoprock/statement/caller_statement.hpp>

/// @file
/// @brief Interface for translating callers' messages into typed statements.

namespace hyssoprock {

/// @brief Translates callers' messages. Implementations are stateless.
class CallerDialect
{
public:
    CallerDialect() = default;
    CallerDialect(const CallerDialect &) = delete;
    CallerDialect &operator=(const CallerDialect &) = delete;
    virtual ~CallerDialect() = default;

    /// @brief Translates one message of a caller.
    /// @param text The message; stored unchanged in the statement.
    /// @return The statement. A text that cannot be parsed is treated as a write.
    [[nodiscard]] virtual CallerStatement translate(std::string text) const = 0;
};

} // namespace hyssoprock
