#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/consensus/restored_state.hpp>
#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief In-memory part of the replicated log.

namespace hyssoprock {

/// @brief Log entries after a base position, and the newest snapshot.
///
/// The base may precede the end of the snapshot, so that a follower with a small lag gets entries
/// instead of the whole snapshot.
class RaftLog
{
public:
    /// @brief Constructs the log from durable state.
    /// @param restored The durable state; its entries follow the snapshot without gaps.
    /// @param initialVoters Voters while neither the snapshot nor the log contains any.
    RaftLog(const RestoredState &restored, std::vector<std::string> initialVoters);

    /// @brief Whether there is neither an entry nor a snapshot.
    [[nodiscard]] bool isEmpty() const noexcept { return last().index == 0; }
    /// @brief Position of the last entry; 0/0 if there is none.
    [[nodiscard]] LogPosition last() const noexcept;
    /// @brief Position of the entry that precedes the first one in memory.
    [[nodiscard]] LogPosition base() const noexcept { return base_; }
    /// @brief Last index that the snapshot includes; 0 without a snapshot.
    [[nodiscard]] std::uint64_t snapshotIndex() const noexcept;
    /// @brief The newest snapshot.
    [[nodiscard]] const std::optional<RaftSnapshot> &snapshot() const noexcept { return snapshot_; }

    /// @brief Term of an entry.
    /// @param index Index of the entry.
    /// @return Nothing if the index precedes the base or is after the end.
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const noexcept;
    /// @brief Returns an entry in memory.
    /// @param index Index after the base and not after the end.
    [[nodiscard]] const LogEntry &at(std::uint64_t index) const;
    /// @brief Entries from an index on.
    /// @param from First index, which must be after the base.
    /// @param countMax Maximum number of entries.
    /// @param bytesMax Maximum size in bytes; the first entry may exceed it.
    /// @return The entries; empty if `from` is after the end.
    [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t from, std::size_t countMax,
                                              std::uint64_t bytesMax) const;
    /// @brief Size of a range of entries in memory.
    /// @param after Index that precedes the first entry.
    /// @param through Index of the last entry.
    /// @return Bytes; 0 if the range is empty.
    [[nodiscard]] std::uint64_t bytesBetween(std::uint64_t after,
                                             std::uint64_t through) const noexcept;

    /// @brief Voters of the newest voters entry, whether committed or not.
    [[nodiscard]] const std::vector<std::string> &voters() const noexcept { return voters_; }
    /// @brief Index of the newest voters entry, or of the snapshot; 0 for the initial voters.
    [[nodiscard]] std::uint64_t votersIndex() const noexcept { return votersIndex_; }
    /// @brief Voters at an index.
    /// @param index Index not before the end of the snapshot.
    [[nodiscard]] std::vector<std::string> votersAt(std::uint64_t index) const;

    /// @brief Appends an entry, whose index must follow the last one.
    void append(LogEntry entry);
    /// @brief Removes the entries from an index on.
    /// @param from Index after the end of the snapshot.
    void truncateFrom(std::uint64_t from);
    /// @brief Sets a snapshot of this log and removes entries that it includes.
    /// @param snapshot Snapshot that ends at an entry of this log.
    /// @param retainedCountMax Maximum number of included entries that stay in memory.
    /// @param retainedBytesMax Maximum size of these entries in bytes.
    void compact(RaftSnapshot snapshot, std::size_t retainedCountMax,
                 std::uint64_t retainedBytesMax);
    /// @brief Replaces the whole log by a snapshot of the leader.
    void reset(RaftSnapshot snapshot);

private:
    void updateVoters();
    void push(LogEntry entry);
    [[nodiscard]] std::uint64_t cumulativeBytesAt(std::uint64_t index) const noexcept;

    std::vector<std::string> initialVoters_;
    std::optional<RaftSnapshot> snapshot_;
    LogPosition base_;
    std::vector<LogEntry> entries_;
    std::vector<std::uint64_t>
        cumulativeBytes_; ///< For each entry, size of all entries up to and including it.
    std::uint64_t baseCumulativeBytes_ = 0; ///< Size of all entries up to and including the base.
    std::vector<std::string> voters_;
    std::uint64_t votersIndex_ = 0;
};

} // namespace hyssoprock
