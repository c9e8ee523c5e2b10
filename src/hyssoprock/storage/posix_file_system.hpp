#pragma once

#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief File system of the operating system.

namespace hyssoprock {

/// @brief FileSystem that uses POSIX calls.
class PosixFileSystem final : public FileSystem
{
public:
    [[nodiscard]] Result<std::unique_ptr<File>> open(const std::string &path) override;
    [[nodiscard]] Result<std::string> read(const std::string &path) const override;
    [[nodiscard]] Result<bool> exists(const std::string &path) const override;
    [[nodiscard]] Result<std::vector<std::string>> list(const std::string &folder) const override;
    [[nodiscard]] Result<void> rename(const std::string &from, const std::string &to) override;
    [[nodiscard]] Result<void> remove(const std::string &path) override;
    [[nodiscard]] Result<void> createFolder(const std::string &folder) override;
    [[nodiscard]] Result<void> syncFolder(const std::string &folder) override;
};

} // namespace hyssoprock
