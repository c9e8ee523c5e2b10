#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/message/replication.hpp>

/// @file
/// @brief Log of committed transactions.

namespace hyssoprock::endpoint {

/// @brief Entries with indexes 1, 2, 3 and terms that never fall. The stand-in never compacts it.
class TransactionLog
{
public:
    /// @brief Position of the last entry.
    /// @return 0/0 if the log is empty.
    [[nodiscard]] LogPosition last() const noexcept;

    /// @brief Term of an entry.
    /// @param index Any index.
    /// @return Its term; 0 before the first entry and after the last one.
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const noexcept;

    /// @brief Whether the log holds an entry.
    /// @param position Its position; 0/0, the start of every log, is always held.
    [[nodiscard]] bool holds(const LogPosition &position) const noexcept;

    /// @brief Newest entry that a log with the given entry can have in common with this one.
    /// @param other A position in another log.
    /// @return A position in this log, at most the other one in term and index.
    [[nodiscard]] LogPosition newestNotAfter(const LogPosition &other) const noexcept;

    /// @brief Entry at an index between 1 and last().index.
    [[nodiscard]] const TransactionEntry &at(std::uint64_t index) const;

    /// @brief Entries after an index.
    /// @param index Index before the first one wanted.
    /// @param limit Largest number of entries.
    [[nodiscard]] std::span<const TransactionEntry> after(std::uint64_t index,
                                                          std::size_t limit) const noexcept;

    /// @brief Adds an entry with the next index and a term that is not below the last one.
    void append(TransactionEntry entry);

    /// @brief Removes the entries after an index.
    void truncateAfter(std::uint64_t index);

private:
    std::vector<TransactionEntry> entries_;
};

} // namespace hyssoprock::endpoint
