#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief Append-only log of checksummed records in numbered segments.

namespace hyssoprock {

/// @brief A log whose records are durable once append() has returned.
///
/// After a failed write the segment is truncated to its last synced record. If this fails, too, the
/// log rejects further writes until it is opened again.
class SegmentedLog
{
public:
    /// @brief Constructs a log without accessing its files.
    /// @param files File system; must outlive this object.
    /// @param folder Folder of the segments.
    /// @param segmentBytes Size in bytes after which a new segment is started.
    SegmentedLog(FileSystem &files, std::string folder, std::uint64_t segmentBytes);

    /// @brief Reads the records and removes a torn write at the end of the last segment.
    ///
    /// A power loss can undo each removal of a replaced segment independently. Segments before the
    /// last one that begins with a replacing record are therefore neither read nor required, and
    /// are removed.
    /// @param replacesAll Recognises a record of replaceAll(); none is recognised if empty.
    /// @return The records in order; ChecksumMismatch for damage elsewhere or a missing segment.
    [[nodiscard]] Result<std::vector<std::string>>
    open(const std::function<bool(std::string_view)> &replacesAll = {});
    /// @brief Appends a record and syncs it.
    /// @return StorageFull or StorageFailure; earlier records are not affected.
    [[nodiscard]] Result<void> append(std::string_view body);
    /// @brief Starts a new segment with a record that replaces all others, then removes the earlier
    /// segments. One that cannot be removed is harmless and is tried again by the next call.
    [[nodiscard]] Result<void> replaceAll(std::string_view body);

private:
    [[nodiscard]] std::string segmentPath(std::uint64_t number) const;
    [[nodiscard]] Result<std::vector<std::uint64_t>> listSegments() const;
    void removeSegments(std::vector<std::uint64_t> &numbers);
    [[nodiscard]] Result<void> startSegment(std::string_view body);
    [[nodiscard]] Result<void> writeRecord(std::string_view body);

    FileSystem &files_;
    std::string folder_;
    std::uint64_t segmentBytes_;
    std::unique_ptr<File> currentFile_;
    std::vector<std::uint64_t> earlierSegments_; ///< Segments before the current one.
    std::uint64_t currentSegment_ = 0;
    std::uint64_t syncedBytes_ = 0;
    bool mustReopen_ = false;
};

} // namespace hyssoprock
