#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/consensus/restored_state.hpp>
#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief The part of the replicated log that is held in memory.

namespace hyssoprock {

/// @brief Log entries after a base position, and the newest snapshot.
///
/// The base may lie before the end of the snapshot, so that a follower that is only a little behind
/// gets entries rather than the whole snapshot.
class RaftLog
{
public:
    /// @brief Starts from durable state.
    /// @param restored Entries without gaps after the snapshot.
    /// @param initialVoters Voters as long as neither snapshot nor log names any.
    RaftLog(const RestoredState &restored, std::vector<std::string> initialVoters);

    /// @brief Whether there are neither entries nor a snapshot.
    [[nodiscard]] bool blank() const noexcept { return last().index == 0; }
    /// @brief Position of the last entry; 0/0 if there is none.
    [[nodiscard]] LogPosition last() const noexcept;
    /// @brief Position just before the first entry in memory.
    [[nodiscard]] LogPosition base() const noexcept { return base_; }
    /// @brief Index up to which the snapshot reaches; 0 without a snapshot.
    [[nodiscard]] std::uint64_t snapshotIndex() const noexcept;
    /// @brief The newest snapshot.
    [[nodiscard]] const std::optional<RaftSnapshot> &snapshot() const noexcept { return snapshot_; }

    /// @brief Term of an entry.
    /// @param index Index.
    /// @return Its term, or nothing if the index is before the base or after the end.
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const noexcept;
    /// @brief An entry in memory.
    /// @param index Greater than the base's and at most the last entry's.
    /// @return The entry.
    [[nodiscard]] const LogEntry &at(std::uint64_t index) const;
    /// @brief Entries from an index on.
    /// @param from First index, greater than the base's.
    /// @param most Most entries.
    /// @param bytesMost Most bytes; the first entry may be larger.
    /// @return The entries; empty if `from` is after the end.
    [[nodiscard]] std::vector<LogEntry> slice(std::uint64_t from, std::size_t most,
                                              std::uint64_t bytesMost) const;
    /// @brief Size of the entries in memory that follow an index.
    /// @param after Index before the first entry that counts.
    /// @param through Index of the last entry that counts.
    /// @return Bytes; 0 if there is no such entry.
    [[nodiscard]] std::uint64_t bytesBetween(std::uint64_t after,
                                             std::uint64_t through) const noexcept;

    /// @brief Voters by the newest entry that names them, committed or not.
    [[nodiscard]] const std::vector<std::string> &voters() const noexcept { return voters_; }
    /// @brief Index of the entry that names the voters; 0 for the initial ones.
    [[nodiscard]] std::uint64_t votersIndex() const noexcept { return votersIndex_; }
    /// @brief Voters at an index.
    /// @param index At least the snapshot's.
    [[nodiscard]] std::vector<std::string> votersAt(std::uint64_t index) const;

    /// @brief Appends an entry; its index must follow the last one.
    void append(LogEntry entry);
    /// @brief Removes the entries from an index on.
    /// @param from Greater than the snapshot's index.
    void truncateFrom(std::uint64_t from);
    /// @brief Takes a snapshot of this log's own entries and drops entries that it covers.
    /// @param snapshot Its last entry is in this log.
    /// @param retain Most entries up to the snapshot's end that stay in memory.
    /// @param retainBytes Most bytes of these entries.
    void compact(RaftSnapshot snapshot, std::size_t retain, std::uint64_t retainBytes);
    /// @brief Replaces the whole log by a leader's snapshot.
    void reset(RaftSnapshot snapshot);

private:
    void findVoters();
    void push(LogEntry entry);
    [[nodiscard]] std::uint64_t endAt(std::uint64_t index) const noexcept;

    std::vector<std::string> initialVoters_;
    std::optional<RaftSnapshot> snapshot_;
    LogPosition base_;
    std::vector<LogEntry> entries_;
    std::vector<std::uint64_t> ends_; ///< For each entry, the bytes of all entries up to its end.
    std::uint64_t baseEnd_ = 0;       ///< Bytes of all entries up to the base.
    std::vector<std::string> voters_;
    std::uint64_t votersIndex_ = 0;
};

} // namespace hyssoprock
