#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include <hyssoprock/pooling/session_values.hpp>
#include <hyssoprock/statement/statement.hpp>

/// @file
/// @brief Limits on what one session makes an entry host hold.

namespace hyssoprock {

/// @brief Limits of one session. The defaults are over ten times what callers of the platform use,
/// about 20 prepared statements and 20 variables.
struct SessionLimits
{
    std::size_t preparedNames = 256;       ///< Prepared statements.
    std::size_t variables = 256;           ///< Variables.
    std::size_t pipelinedStatements = 256; ///< Statements that wait for the one in progress.
    /// Bytes of all names and values. Admits one message of the maximum size, 1 MiB, and more.
    std::size_t valueBytes = std::size_t{2} * 1024 * 1024;

    [[nodiscard]] bool operator==(const SessionLimits &) const = default;
};

/// @brief Memory of all values of a session once a statement has been carried out.
/// @param values Values before it.
/// @param bytes Memory of these values, as this function returned it before; 0 for none.
/// @param statement Sets a variable, or prepares or deallocates a statement.
/// @return Bytes, including an estimate of the overhead of each entry.
[[nodiscard]] std::size_t valueBytesAfter(const SessionValues &values, std::size_t bytes,
                                          const Statement &statement);

/// @brief Decides whether a session may set a value. Guards against callers that fill the memory of
/// the host with variables or prepared statements.
/// @param values Values before the statement.
/// @param bytesAfter Result of valueBytesAfter().
/// @return The reason for the refusal; empty if the value may be set.
[[nodiscard]] std::optional<std::string_view> exceededLimit(const SessionLimits &limits,
                                                            const SessionValues &values,
                                                            std::size_t bytesAfter,
                                                            const Statement &statement);

} // namespace hyssoprock
