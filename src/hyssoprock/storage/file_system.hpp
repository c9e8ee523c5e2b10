#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Interface of the file operations for durable state.

namespace hyssoprock {

/// @brief An open append-only file. Written bytes are durable only after sync().
class File
{
public:
    File() = default;
    File(const File &) = delete;
    File &operator=(const File &) = delete;
    virtual ~File() = default;

    /// @brief Appends bytes. After an error, some of them may have been written.
    /// @return StorageFull or StorageFailure on error.
    [[nodiscard]] virtual Result<void> append(std::string_view bytes) = 0;
    /// @brief Makes the contents and the size durable.
    [[nodiscard]] virtual Result<void> sync() = 0;
    /// @brief Shortens the file.
    /// @param bytes New size, at most the current one.
    [[nodiscard]] virtual Result<void> truncate(std::uint64_t bytes) = 0;
};

/// @brief A file system. Names are durable only after syncFolder().
///
/// Errors are StorageFull if space is exhausted and StorageFailure otherwise.
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    /// @brief Opens a file for appending and creates it if it does not exist.
    [[nodiscard]] virtual Result<std::unique_ptr<File>> open(const std::string &path) = 0;
    /// @brief Reads a whole file.
    [[nodiscard]] virtual Result<std::string> read(const std::string &path) const = 0;
    /// @brief Whether a path exists.
    [[nodiscard]] virtual Result<bool> exists(const std::string &path) const = 0;
    /// @brief Names of the entries of a folder, sorted.
    [[nodiscard]] virtual Result<std::vector<std::string>>
    list(const std::string &folder) const = 0;
    /// @brief Renames a file, atomically replacing a file of the new name.
    [[nodiscard]] virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    /// @brief Removes a file.
    [[nodiscard]] virtual Result<void> remove(const std::string &path) = 0;
    /// @brief Creates a folder and its parents durably, unless it exists.
    [[nodiscard]] virtual Result<void> createFolder(const std::string &folder) = 0;
    /// @brief Makes the names in a folder durable.
    [[nodiscard]] virtual Result<void> syncFolder(const std::string &folder) = 0;
};

} // namespace hyssoprock
