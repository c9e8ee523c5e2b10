#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/storage/file_system.hpp>

/// @file
/// @brief In-memory file system that simulates lost writes, torn writes, full disks and corruption.

namespace hyssoprock::test {

/// @brief FileSystem that distinguishes synced from unsynced data.
class MemoryFileSystem final : public FileSystem
{
public:
    /// @brief Sets the maximum sum of file sizes.
    void setCapacity(std::uint64_t bytes) { disk_->capacityBytes = bytes; }
    /// @brief Fails all operations after the given number, as if the process had crashed there.
    void failAfterOperations(std::uint64_t operations) { disk_->operationsLeft = operations; }
    /// @brief Sets whether syncs of files fail.
    void failSyncs(bool fails) { disk_->failSyncs = fails; }
    /// @brief Number of operations so far.
    [[nodiscard]] std::uint64_t operations() const { return disk_->operations; }

    /// @brief Discards unsynced data; some of it may survive, in whole sectors.
    /// @param random Chooses the surviving data; if null, all unsynced data is lost.
    void crash(RandomSource *random)
    {
        disk_->operationsLeft = std::numeric_limits<std::uint64_t>::max();
        if (random == nullptr || random->chance(50)) {
            disk_->names = disk_->syncedNames;
        }
        for (auto &[path, node] : disk_->names) {
            node->content = contentAfterCrash(*node, random);
            node->synced = node->content;
        }
        disk_->syncedNames = disk_->names;
    }

    /// @brief Replaces all files by independent copies of those of another file system.
    void copyFrom(const MemoryFileSystem &other)
    {
        disk_ = std::make_shared<Disk>();
        std::map<const Node *, std::shared_ptr<Node>> copies;
        const auto copyOf = [&copies](const std::shared_ptr<Node> &node) {
            auto &known = copies[node.get()];
            if (!known) {
                known = std::make_shared<Node>(*node);
            }
            return known;
        };
        for (const auto &[path, node] : other.disk_->names) {
            disk_->names[path] = copyOf(node);
        }
        for (const auto &[path, node] : other.disk_->syncedNames) {
            disk_->syncedNames[path] = copyOf(node);
        }
    }

    /// @brief Names that were created, replaced or removed since their folder was synced, sorted.
    [[nodiscard]] std::vector<std::string> unsyncedNames() const
    {
        std::vector<std::string> result;
        for (const auto *names : {&disk_->names, &disk_->syncedNames}) {
            for (const auto &[path, node] : *names) {
                if (nodeAt(disk_->names, path) != nodeAt(disk_->syncedNames, path)) {
                    result.push_back(path);
                }
            }
        }
        std::sort(result.begin(), result.end());
        result.erase(std::unique(result.begin(), result.end()), result.end());
        return result;
    }

    /// @brief Loses the power. Data that was not synced is lost.
    /// @param kept Unsynced names whose change reaches the disk; each one may or may not.
    void losePower(const std::vector<std::string> &kept)
    {
        disk_->operationsLeft = std::numeric_limits<std::uint64_t>::max();
        auto names = disk_->syncedNames;
        for (const auto &path : kept) {
            if (const auto node = nodeAt(disk_->names, path)) {
                names[path] = node;
            } else {
                names.erase(path);
            }
        }
        disk_->names = std::move(names);
        for (auto &[path, node] : disk_->names) {
            node->content = node->synced;
        }
        disk_->syncedNames = disk_->names;
    }

    /// @brief Sets whether files cannot be removed.
    void failRemovals(bool fails) { disk_->failRemovals = fails; }

    /// @brief Removes all files and pending faults; the capacity stays.
    void wipe()
    {
        const auto capacityBytes = disk_->capacityBytes;
        disk_ = std::make_shared<Disk>();
        disk_->capacityBytes = capacityBytes;
    }

    /// @brief Flips one bit of a file, including its synced contents.
    void flipBit(const std::string &path, std::uint64_t byte, unsigned bit)
    {
        auto &node = *disk_->names.at(path);
        node.content.at(byte) = static_cast<char>(node.content.at(byte) ^ (1U << bit));
        node.synced = node.content;
    }

    /// @brief Replaces a file's contents, including the synced ones.
    void overwrite(const std::string &path, std::string content)
    {
        auto &node = *disk_->names.at(path);
        node.content = std::move(content);
        node.synced = node.content;
    }

    Result<std::unique_ptr<File>> open(const std::string &path) override
    {
        if (auto failed = disk_->beginOperation()) {
            return failure(failed->kind, failed->detail);
        }
        auto &node = disk_->names[path];
        if (!node) {
            node = std::make_shared<Node>();
        }
        return std::unique_ptr<File>{std::make_unique<MemoryFile>(disk_, node)};
    }

    Result<std::string> read(const std::string &path) const override
    {
        const auto found = disk_->names.find(path);
        if (found == disk_->names.end()) {
            return failure(ErrorKind::StorageFailure, "no file " + path);
        }
        return found->second->content;
    }

    Result<bool> exists(const std::string &path) const override
    {
        return disk_->names.contains(path);
    }

    Result<std::vector<std::string>> list(const std::string &folder) const override
    {
        std::vector<std::string> names;
        for (const auto &[path, node] : disk_->names) {
            if (path.starts_with(folder + "/")) {
                names.push_back(path.substr(folder.size() + 1));
            }
        }
        return names;
    }

    Result<void> rename(const std::string &from, const std::string &to) override
    {
        if (auto failed = disk_->beginOperation()) {
            return failure(failed->kind, failed->detail);
        }
        disk_->names[to] = disk_->names.at(from);
        disk_->names.erase(from);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> remove(const std::string &path) override
    {
        if (auto failed = disk_->beginOperation()) {
            return failure(failed->kind, failed->detail);
        }
        if (disk_->failRemovals) {
            return failure(ErrorKind::StorageFailure, "removals fail");
        }
        disk_->names.erase(path);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> createFolder(const std::string & /*folder*/) override
    {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    Result<void> syncFolder(const std::string &folder) override
    {
        if (auto failed = disk_->beginOperation()) {
            return failure(failed->kind, failed->detail);
        }
        std::erase_if(disk_->syncedNames, [&](const auto &item) {
            return item.first.starts_with(folder + "/") && !disk_->names.contains(item.first);
        });
        for (const auto &[path, node] : disk_->names) {
            if (path.starts_with(folder + "/")) {
                disk_->syncedNames[path] = node;
            }
        }
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

private:
    static constexpr std::uint64_t sectorBytes = 512;

    struct Node
    {
        std::string content;
        std::string synced;
    };

    struct Disk
    {
        std::map<std::string, std::shared_ptr<Node>> names;
        std::map<std::string, std::shared_ptr<Node>> syncedNames;
        std::uint64_t capacityBytes = std::numeric_limits<std::uint64_t>::max();
        std::uint64_t operationsLeft = std::numeric_limits<std::uint64_t>::max();
        std::uint64_t operations = 0;
        bool failSyncs = false;
        bool failRemovals = false;

        std::optional<Error> beginOperation()
        {
            ++operations;
            if (operationsLeft == 0) {
                return Error{ErrorKind::StorageFailure, "the process has died"};
            }
            --operationsLeft;
            return std::nullopt;
        }

        [[nodiscard]] std::uint64_t usedBytes() const
        {
            std::uint64_t bytes = 0;
            for (const auto &[path, node] : names) {
                bytes += node->content.size();
            }
            return bytes;
        }
    };

    static std::shared_ptr<Node> nodeAt(const std::map<std::string, std::shared_ptr<Node>> &names,
                                        const std::string &path)
    {
        const auto found = names.find(path);
        return found == names.end() ? nullptr : found->second;
    }

    class MemoryFile final : public File
    {
    public:
        MemoryFile(std::shared_ptr<Disk> disk, std::shared_ptr<Node> node)
            : disk_{std::move(disk)}
            , node_{std::move(node)}
        {}

        Result<void> append(std::string_view bytes) override
        {
            if (auto failed = disk_->beginOperation()) {
                return failure(failed->kind, failed->detail);
            }
            const auto usedBytes = disk_->usedBytes();
            const auto space =
                disk_->capacityBytes > usedBytes ? disk_->capacityBytes - usedBytes : 0;
            node_->content.append(bytes.substr(0, space));
            if (bytes.size() > space) {
                return failure(ErrorKind::StorageFull, "no space");
            }
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }

        Result<void> sync() override
        {
            if (auto failed = disk_->beginOperation()) {
                return failure(failed->kind, failed->detail);
            }
            if (disk_->failSyncs) {
                return failure(ErrorKind::StorageFailure, "sync fails");
            }
            node_->synced = node_->content;
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }

        Result<void> truncate(std::uint64_t bytes) override
        {
            if (auto failed = disk_->beginOperation()) {
                return failure(failed->kind, failed->detail);
            }
            node_->content.resize(bytes);
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }

    private:
        std::shared_ptr<Disk> disk_;
        std::shared_ptr<Node> node_;
    };

    /// @brief Contents of a file after a crash.
    static std::string contentAfterCrash(const Node &node, RandomSource *random)
    {
        const auto grown =
            node.content.size() > node.synced.size() && node.content.starts_with(node.synced);
        if (random == nullptr || !grown) {
            return node.synced;
        }
        const auto added = node.content.size() - node.synced.size();
        auto content = node.content.substr(0, node.synced.size() + random->below(added + 1));
        if (random->chance(30)) {
            // The new size was written, but some sectors of the appended data were not.
            content = node.content;
            for (auto sector = node.synced.size() / sectorBytes;
                 sector * sectorBytes < content.size(); ++sector) {
                const auto begin =
                    std::max<std::uint64_t>(sector * sectorBytes, node.synced.size());
                const auto end =
                    std::min<std::uint64_t>((sector + 1) * sectorBytes, content.size());
                if (random->chance(50)) {
                    content.replace(begin, end - begin, end - begin, '\0');
                }
            }
        }
        return content;
    }

    std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();
};

} // namespace hyssoprock::test
