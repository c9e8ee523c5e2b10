#pragma once

#include <cstdint>
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
/// After a failed write the segment is cut back to its last synced record. If even that fails, the
/// log refuses further writes until it is opened again.
class SegmentedLog
{
public:
    /// @brief Names the folder; touches nothing.
    /// @param files Outlives this object.
    /// @param folder Folder of the segments.
    /// @param segmentBytes Size from which on a new segment is begun.
    SegmentedLog(FileSystem &files, std::string folder, std::uint64_t segmentBytes);

    /// @brief Reads all records; a torn tail of the last segment is cut off.
    /// @return The records in order; ChecksumMismatch for damage elsewhere or a missing segment.
    [[nodiscard]] Result<std::vector<std::string>> open();
    /// @brief Appends a record and syncs it.
    /// @return StorageFull or StorageFailure; earlier records are unharmed.
    [[nodiscard]] Result<void> append(std::string_view body);
    /// @brief Begins a new segment with a record that supersedes all others, then removes the
    /// earlier segments. After a crash in between, earlier records are still read before it.
    [[nodiscard]] Result<void> replaceAll(std::string_view body);

private:
    [[nodiscard]] std::string pathOf(std::uint64_t number) const;
    [[nodiscard]] Result<std::vector<std::uint64_t>> findSegments() const;
    [[nodiscard]] Result<void> beginSegment(std::string_view body);
    [[nodiscard]] Result<void> write(std::string_view body);

    FileSystem &files_;
    std::string folder_;
    std::uint64_t segmentBytes_;
    std::unique_ptr<File> current_;
    std::uint64_t first_ = 1;
    std::uint64_t number_ = 0;
    std::uint64_t syncedBytes_ = 0;
    bool broken_ = false;
};

} // namespace hyssoprock
