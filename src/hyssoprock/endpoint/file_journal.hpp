#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/endpoint/journal.hpp>

/// @file
/// @brief Journal of an endpoint in a file.

namespace hyssoprock::endpoint {

/// @brief What a journal file holds after a restart.
struct JournalContent
{
    std::uint64_t fencedTerm = 0;          ///< Terms below this are refused.
    std::vector<TransactionEntry> entries; ///< The log.
};

/// @brief Appends each change as a checksummed record.
///
/// Fences and truncations are synced before they take effect. Entries are written before they take
/// effect but not synced: they survive the end of the process, not that of the machine, as the
/// stand-in's only fault is the end of its process.
class FileJournal final : public Journal
{
public:
    /// @brief Opens or creates a journal and reads it. A torn record at the end is cut off.
    /// @param folder Folder, created if it is missing; its journal.log is used.
    /// @return StorageFailure, or ChecksumMismatch for damage before the last record.
    [[nodiscard]] static Result<FileJournal> open(const std::string &folder);

    FileJournal(FileJournal &&other) noexcept;
    FileJournal &operator=(FileJournal &&) = delete;
    FileJournal(const FileJournal &) = delete;
    FileJournal &operator=(const FileJournal &) = delete;
    ~FileJournal() override;

    /// @brief Takes what was read by open().
    [[nodiscard]] JournalContent takeContent() noexcept { return std::move(content_); }

    void fence(std::uint64_t term) override;
    void append(const TransactionEntry &entry) override;
    void truncateAfter(std::uint64_t index) override;

private:
    FileJournal(int file, JournalContent content) noexcept;
    void write(const std::string &record, bool sync);

    int file_;
    JournalContent content_;
};

} // namespace hyssoprock::endpoint
