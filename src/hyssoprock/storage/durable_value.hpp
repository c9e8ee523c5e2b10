#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief One checksummed value in a file.

namespace hyssoprock {

/// @brief A value that is replaced atomically: a crash leaves the old value or the new one.
class DurableValue
{
public:
    /// @brief Names the file; touches nothing.
    /// @param files Outlives this object.
    /// @param folder Existing folder.
    /// @param name Name of the file in the folder.
    DurableValue(FileSystem &files, std::string folder, const std::string &name);

    /// @brief Reads the value.
    /// @return Nothing if it was never stored; ChecksumMismatch if the file is damaged.
    [[nodiscard]] Result<std::optional<std::string>> load() const;
    /// @brief Replaces the value and syncs it.
    /// @param value Any bytes below 4 GiB.
    /// @return StorageFull: the old value stays in force. StorageFailure: the old or the new one
    /// is.
    [[nodiscard]] Result<void> store(std::string_view value);

private:
    [[nodiscard]] Result<void> writeTemporary(std::string_view value);

    FileSystem &files_;
    std::string folder_;
    std::string path_;
    std::string temporaryPath_;
};

} // namespace hyssoprock
