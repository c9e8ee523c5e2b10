#pragma once

#include <cstdint>

/// @file
/// @brief What a statement does, whatever language it is written in.

namespace hyssoprock {

/// @brief What a statement does.
///
/// Where the text does not tell a read from a write, as in SQL, the caller's attributes do.
/// Variables and prepared statements are kinds only where the proxy keeps them for a session (the
/// pooled deployment); elsewhere a statement that concerns them is a Read or a Write.
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
    Malformed, ///< Cannot be understood; not run anywhere.
};

/// @brief Whether a statement reads or writes data, whatever else its text may do.
[[nodiscard]] constexpr bool accessesData(StatementKind kind) noexcept
{
    return kind == StatementKind::Read || kind == StatementKind::Write;
}

/// @brief Whether a statement does nothing but open a transaction.
[[nodiscard]] constexpr bool opensTransaction(StatementKind kind) noexcept
{
    return kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
}

/// @brief Whether a statement does nothing but end a transaction.
[[nodiscard]] constexpr bool endsTransaction(StatementKind kind) noexcept
{
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

} // namespace hyssoprock
