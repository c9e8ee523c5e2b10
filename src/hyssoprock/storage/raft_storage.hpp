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
    /// @brief Constructs a storage without accessing its files.
    /// @param files File system; must outlive this object.
    /// @param folder Folder of the log and the snapshot, for example data_folder + "/raft".
    /// @param segmentBytes Size in bytes after which a new log segment is started.
    RaftStorage(FileSystem &files, std::string folder,
                std::uint64_t segmentBytes = defaultSegmentBytes);

    /// @brief Creates the folder if it does not exist and loads the state. Must be called before
    /// any other function, and again after an error.
    /// @return The state; ChecksumMismatch if a file is damaged.
    [[nodiscard]] Result<RestoredState> load();
    /// @brief Writes and syncs an action. After an error, nothing of the action has taken effect.
    [[nodiscard]] Result<void> execute(const raft::Persist &action);
    /// @brief Writes and syncs the snapshot, then shortens the log.
    /// @return After an error, the snapshot may be stored although the log was not shortened.
    [[nodiscard]] Result<void> execute(const raft::SaveSnapshot &action);

    /// @brief Default size in bytes after which a new log segment is started. It is large enough to
    /// limit the number of files, and small enough for a segment to be read in well under a second.
    static constexpr std::uint64_t defaultSegmentBytes = 4U << 20U;

private:
    [[nodiscard]] Result<void> replay(const std::vector<std::string> &records);
    [[nodiscard]] Result<void> rewriteLog();
    void apply(const PersistRecord &record);
    void removeEntriesThrough(const LogPosition &position);

    FileSystem &files_;
    std::string folder_;
    DurableValue snapshotValue_;
    SegmentedLog log_;
    HardState hardState_;
    std::vector<LogEntry> entries_; ///< Copy of the durable entries, needed to rewrite the log.
    bool logOutdated_ = false;      ///< The log has entries that the snapshot replaces.
};

} // namespace hyssoprock
