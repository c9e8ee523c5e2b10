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

/// @brief Entries with consecutive indexes from 1 and non-decreasing terms; never compacted.
class TransactionLog
{
public:
    /// @brief Position of the last entry.
    /// @return 0/0 if the log is empty.
    [[nodiscard]] LogPosition last() const noexcept;

    /// @brief Term of an entry.
    /// @param index Any index.
    /// @return Term of the entry; 0 if there is no entry with this index.
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const noexcept;

    /// @brief Whether the log contains an entry.
    /// @param position Position of the entry; 0/0, the start of the log, is always contained.
    [[nodiscard]] bool contains(const LogPosition &position) const noexcept;

    /// @brief Newest entry that another log can have in common with this one.
    /// @param other Position of an entry in the other log.
    /// @return Position in this log whose term and index do not exceed those of the other one.
    [[nodiscard]] LogPosition newestNotAfter(const LogPosition &other) const noexcept;

    /// @brief Entry at an index between 1 and last().index.
    [[nodiscard]] const TransactionEntry &at(std::uint64_t index) const;

    /// @brief Entries after an index.
    /// @param index Index before the first entry.
    /// @param entryCountMax Maximum number of entries.
    [[nodiscard]] std::span<const TransactionEntry> after(std::uint64_t index,
                                                          std::size_t entryCountMax) const noexcept;

    /// @brief Appends an entry. Its index must be the next one and its term not below the last one.
    void append(TransactionEntry entry);

    /// @brief Removes the entries after an index.
    void truncateAfter(std::uint64_t index);

private:
    std::vector<TransactionEntry> entries_;
};

} // namespace hyssoprock::endpoint
