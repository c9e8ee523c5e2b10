#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief The file operations that durable state needs.

namespace hyssoprock {

/// @brief An open file that grows at its end. Written bytes are durable only after sync().
class File
{
public:
    File() = default;
    File(const File &) = delete;
    File &operator=(const File &) = delete;
    virtual ~File() = default;

    /// @brief Writes at the end.
    /// @param bytes All of them are written, or an error is returned and some may have been.
    /// @return StorageFull or StorageFailure on error.
    [[nodiscard]] virtual Result<void> append(std::string_view bytes) = 0;
    /// @brief Makes contents and size durable.
    [[nodiscard]] virtual Result<void> sync() = 0;
    /// @brief Cuts the file.
    /// @param bytes New size, at most the present one.
    [[nodiscard]] virtual Result<void> truncate(std::uint64_t bytes) = 0;
};

/// @brief A tree of files. Names are durable only after syncFolder().
///
/// Every error is StorageFull if space is lacking and StorageFailure otherwise.
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    /// @brief Opens a file at its end, making it if it does not exist.
    [[nodiscard]] virtual Result<std::unique_ptr<File>> open(const std::string &path) = 0;
    /// @brief Reads a whole file.
    [[nodiscard]] virtual Result<std::string> read(const std::string &path) const = 0;
    /// @brief Whether a file exists.
    [[nodiscard]] virtual Result<bool> exists(const std::string &path) const = 0;
    /// @brief Names in a folder, sorted.
    [[nodiscard]] virtual Result<std::vector<std::string>>
    list(const std::string &folder) const = 0;
    /// @brief Renames a file, replacing any file of the new name atomically.
    [[nodiscard]] virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    /// @brief Removes a file.
    [[nodiscard]] virtual Result<void> remove(const std::string &path) = 0;
    /// @brief Makes a folder and its parents durably, unless it exists.
    [[nodiscard]] virtual Result<void> createFolder(const std::string &folder) = 0;
    /// @brief Makes the names in a folder durable.
    [[nodiscard]] virtual Result<void> syncFolder(const std::string &folder) = 0;
};

} // namespace hyssoprock
