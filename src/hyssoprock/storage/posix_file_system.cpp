#include <hyssoprock/storage/posix_file_system.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include <boost/outcome/try.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace hyssoprock {

namespace {

constexpr mode_t fileMode = 0640;
constexpr std::size_t blockBytes = 1U << 16U;

Error makeError(int code, const std::string &operation, const std::string &path)
{
    const auto full = code == ENOSPC || code == EDQUOT;
    return {full ? ErrorKind::StorageFull : ErrorKind::StorageFailure,
            operation + " " + path + ": " + std::generic_category().message(code)};
}

auto errnoFailure(const std::string &operation, const std::string &path)
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(makeError(errno, operation, path));
}

/// @brief Repeats a call while it fails with EINTR.
template <class Call>
auto retryIfInterrupted(Call call)
{
    auto result = call();
    while (result < 0 && errno == EINTR) {
        result = call();
    }
    return result;
}

class Descriptor
{
public:
    explicit Descriptor(int value) noexcept
        : value_{value}
    {}
    Descriptor(Descriptor &&other) noexcept
        : value_{std::exchange(other.value_, -1)}
    {}
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    Descriptor &operator=(Descriptor &&) = delete;
    ~Descriptor()
    {
        if (value_ >= 0) {
            ::close(value_);
        }
    }
    [[nodiscard]] int get() const noexcept { return value_; }

private:
    int value_;
};

class PosixFile final : public File
{
public:
    PosixFile(Descriptor descriptor, std::string path)
        : descriptor_{std::move(descriptor)}
        , path_{std::move(path)}
    {}

    Result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const auto written = retryIfInterrupted(
                [&] { return ::write(descriptor_.get(), bytes.data(), bytes.size()); });
            if (written < 0) {
                return errnoFailure("write", path_);
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> sync() override
    {
        if (::fsync(descriptor_.get()) != 0) {
            return errnoFailure("sync", path_);
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> truncate(std::uint64_t bytes) override
    {
        if (retryIfInterrupted(
                [&] { return ::ftruncate(descriptor_.get(), static_cast<off_t>(bytes)); })
            != 0) {
            return errnoFailure("truncate", path_);
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

private:
    Descriptor descriptor_;
    std::string path_;
};

Result<void> toResult(const std::error_code &error, const std::string &operation,
                      const std::string &path)
{
    if (error) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(makeError(error.value(), operation, path));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

Result<std::unique_ptr<File>> PosixFileSystem::open(const std::string &path)
{
    Descriptor descriptor{retryIfInterrupted(
        [&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, fileMode); })};
    if (descriptor.get() < 0) {
        return errnoFailure("open", path);
    }
    return std::unique_ptr<File>{std::make_unique<PosixFile>(std::move(descriptor), path)};
}

Result<std::string> PosixFileSystem::read(const std::string &path) const
{
    const Descriptor descriptor{
        retryIfInterrupted([&] { return ::open(path.c_str(), O_RDONLY | O_CLOEXEC); })};
    if (descriptor.get() < 0) {
        return errnoFailure("open", path);
    }
    std::string bytes;
    std::array<char, blockBytes> block{};
    for (;;) {
        const auto count = retryIfInterrupted(
            [&] { return ::read(descriptor.get(), block.data(), block.size()); });
        if (count < 0) {
            return errnoFailure("read", path);
        }
        if (count == 0) {
            return bytes;
        }
        bytes.append(block.data(), static_cast<std::size_t>(count));
    }
}

Result<bool> PosixFileSystem::exists(const std::string &path) const
{
    std::error_code error;
    const auto found = std::filesystem::exists(path, error);
    if (error) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(makeError(error.value(), "look up", path));
    }
    return found;
}

Result<std::vector<std::string>> PosixFileSystem::list(const std::string &folder) const
{
    std::vector<std::string> names;
    std::error_code error;
    for (std::filesystem::directory_iterator entry{folder, error}, end; !error && entry != end;
         entry.increment(error)) {
        names.push_back(entry->path().filename().string());
    }
    if (error) {
        return BOOST_OUTCOME_V2_NAMESPACE::failure(makeError(error.value(), "list", folder));
    }
    std::sort(names.begin(), names.end());
    return names;
}

Result<void> PosixFileSystem::rename(const std::string &from, const std::string &to)
{
    std::error_code error;
    std::filesystem::rename(from, to, error);
    return toResult(error, "rename", from);
}

Result<void> PosixFileSystem::remove(const std::string &path)
{
    std::error_code error;
    std::filesystem::remove(path, error);
    return toResult(error, "remove", path);
}

Result<void> PosixFileSystem::createFolder(const std::string &folder)
{
    const std::filesystem::path path{folder};
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    const auto parent = path.has_parent_path() ? path.parent_path().string() : std::string{"."};
    if (parent != folder) {
        BOOST_OUTCOME_TRYV(createFolder(parent));
    }
    std::filesystem::create_directory(path, error);
    BOOST_OUTCOME_TRYV(toResult(error, "create", folder));
    return syncFolder(parent);
}

Result<void> PosixFileSystem::syncFolder(const std::string &folder)
{
    const Descriptor descriptor{retryIfInterrupted(
        [&] { return ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC); })};
    if (descriptor.get() < 0) {
        return errnoFailure("open", folder);
    }
    if (::fsync(descriptor.get()) != 0) {
        return errnoFailure("sync", folder);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
