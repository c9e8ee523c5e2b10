#pragma once

#include <cstdint>

/// @file
/// @brief Kinds of statements, independent of the caller's dialect.

namespace hyssoprock {

/// @brief Kind of a statement.
///
/// If the text does not determine whether a statement reads or writes, as in SQL, the caller's
/// attributes do. The kinds for variables and prepared statements exist only where the proxy keeps
/// these for a session (the pooled deployment); elsewhere such statements are a Read or a Write.
enum class StatementKind : std::uint8_t {
    Begin,         ///< Opens a transaction that may write.
    BeginReadOnly, ///< Opens a transaction that only reads.
    Commit,
    Rollback,
    Read,
    Write,
    SetVariable,
    Prepare,
    Execute,
    Deallocate,
    Malformed, ///< Could not be parsed; not run on any endpoint.
};

/// @brief Whether a statement reads or writes data.
[[nodiscard]] constexpr bool accessesData(StatementKind kind) noexcept
{
    return kind == StatementKind::Read || kind == StatementKind::Write;
}

/// @brief Whether a statement only opens a transaction.
[[nodiscard]] constexpr bool opensTransaction(StatementKind kind) noexcept
{
    return kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
}

/// @brief Whether a statement only ends a transaction.
[[nodiscard]] constexpr bool endsTransaction(StatementKind kind) noexcept
{
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

} // namespace hyssoprock
