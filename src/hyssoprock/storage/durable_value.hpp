#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief Checksummed value in a file of its own.

namespace hyssoprock {

/// @brief A value that is replaced atomically: a crash leaves the old value or the new one.
class DurableValue
{
public:
    /// @brief Constructs a value without accessing its file.
    /// @param files File system; must outlive this object.
    /// @param folder Existing folder.
    /// @param name File name in the folder.
    DurableValue(FileSystem &files, std::string folder, const std::string &name);

    /// @brief Loads the value.
    /// @return Nothing if it was never stored; ChecksumMismatch if the file is damaged.
    [[nodiscard]] Result<std::optional<std::string>> load() const;
    /// @brief Replaces the value and syncs it.
    /// @param value Bytes, less than 4 GiB.
    /// @return After StorageFull the old value is kept. After StorageFailure either the old or the
    /// new value is stored.
    [[nodiscard]] Result<void> store(std::string_view value);

private:
    [[nodiscard]] Result<void> writeTemporary(std::string_view value);

    FileSystem &files_;
    std::string folder_;
    std::string path_;
    std::string temporaryPath_;
};

} // namespace hyssoprock
