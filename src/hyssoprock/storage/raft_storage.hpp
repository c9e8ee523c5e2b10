#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <hyssoprock/consensus/raft_action.hpp>
#include <hyssoprock/consensus/restored_state.hpp>
#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/storage/segmented_log.hpp>

/// @file
/// @brief Durable state of a control host.

namespace hyssoprock {

/// @brief Carries out the storage actions of a RaftNode.
class RaftStorage
{
public:
    /// @brief Names the folder; touches nothing.
    /// @param files Outlives this object.
    /// @param folder Folder of the log and the snapshot, for example data_folder + "/raft".
    /// @param segmentBytes Size from which on a new log segment is begun.
    RaftStorage(FileSystem &files, std::string folder,
                std::uint64_t segmentBytes = defaultSegmentBytes);

    /// @brief Makes the folder if needed and reads everything. Must come before any other call, and
    /// again after a call that failed.
    /// @return The state; ChecksumMismatch if a file is damaged.
    [[nodiscard]] Result<RestoredState> load();
    /// @brief Writes and syncs; on error nothing of the action is in force.
    [[nodiscard]] Result<void> execute(const raft::Persist &action);
    /// @brief Writes and syncs the snapshot, then shortens the log.
    /// @return On error the snapshot may be in force without the log having been shortened.
    [[nodiscard]] Result<void> execute(const raft::SaveSnapshot &action);

    /// @brief Size from which on a new log segment is begun: large enough that few files exist,
    /// small enough to be read at start in well under a second.
    static constexpr std::uint64_t defaultSegmentBytes = 4U << 20U;

private:
    [[nodiscard]] Result<void> replay(const std::vector<std::string> &records);
    [[nodiscard]] Result<void> replaceLog();
    void apply(const PersistRecord &record);
    void dropEntriesThrough(const LogPosition &position);

    FileSystem &files_;
    std::string folder_;
    DurableValue snapshotValue_;
    SegmentedLog log_;
    HardState hardState_;
    std::vector<LogEntry> entries_; ///< Mirror of the durable log, as needed to rewrite its tail.
    bool superseded_ = false;       ///< The log still has entries that the snapshot supersedes.
};

} // namespace hyssoprock
