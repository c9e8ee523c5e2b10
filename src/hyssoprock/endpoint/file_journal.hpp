#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/endpoint/journal.hpp>

/// @file
/// @brief Journal that is stored in a file.

namespace hyssoprock::endpoint {

/// @brief Content of a journal file.
struct JournalContent
{
    std::uint64_t fencedTerm = 0;          ///< Lowest accepted term.
    std::vector<TransactionEntry> entries; ///< Transaction log.
};

/// @brief Appends each change as a checksummed record.
///
/// Fences and truncations are synced before they take effect. Entries are written before they take
/// effect but not synced: they survive a crash of the process but not of the machine, because
/// process crashes are the only ones that the stand-in simulates.
class FileJournal final : public Journal
{
public:
    /// @brief Opens or creates a journal and reads it. An incomplete last record is removed.
    /// @param folder Directory of the file journal.log; created if it is missing.
    /// @return The journal, StorageFailure, or ChecksumMismatch if a complete record is corrupt.
    [[nodiscard]] static Result<FileJournal> open(const std::string &folder);

    FileJournal(FileJournal &&other) noexcept;
    FileJournal &operator=(FileJournal &&) = delete;
    FileJournal(const FileJournal &) = delete;
    FileJournal &operator=(const FileJournal &) = delete;
    ~FileJournal() override;

    /// @brief Moves out the content that open() read.
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
