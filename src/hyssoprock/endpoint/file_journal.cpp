#include <hyssoprock/endpoint/file_journal.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/scope_guard.hpp>
#include <hyssoprock/transport/frame.hpp>

namespace hyssoprock::endpoint {

namespace {

constexpr mode_t fileMode = 0600;
constexpr std::size_t readBufferBytes = 65536;

auto systemFailure(const std::string &what)
{
    return failure(ErrorKind::StorageFailure, what + ": " + std::strerror(errno));
}

/// Applies a record to the content.
/// @return Whether the record is valid and consistent with the records before it.
bool applyRecord(const Frame &frame, JournalContent &content)
{
    if (holds<JournalFence>(frame)) {
        const auto record = decodeMessage<JournalFence>(frame);
        if (record.has_value()) {
            content.fencedTerm = record.value().term;
        }
        return record.has_value();
    }
    if (holds<JournalEntry>(frame)) {
        auto record = decodeMessage<JournalEntry>(frame);
        if (record.has_error()
            || record.value().entry.position.index != content.entries.size() + 1) {
            return false;
        }
        content.entries.push_back(std::move(record.value().entry));
        return true;
    }
    const auto record = decodeMessage<JournalTruncation>(frame);
    if (record.has_error() || record.value().index > content.entries.size()) {
        return false;
    }
    content.entries.resize(static_cast<std::size_t>(record.value().index));
    return true;
}

/// Reads all records.
/// @param file Open file, positioned at its start.
/// @param content Receives the content of the records.
/// @return Offset in bytes of the end of the last complete record.
Result<std::uint64_t> readRecords(int file, JournalContent &content)
{
    FrameReader reader;
    std::array<char, readBufferBytes> buffer{};
    std::uint64_t completeBytes = 0;
    while (true) {
        const auto count = ::read(file, buffer.data(), buffer.size());
        if (count < 0) {
            return systemFailure("cannot read the journal");
        }
        if (count == 0) {
            return completeBytes;
        }
        reader.append({buffer.data(), static_cast<std::size_t>(count)});
        while (true) {
            auto frame = reader.next();
            if (frame.has_error()) {
                return frame.as_failure();
            }
            if (!frame.value()) {
                break;
            }
            if (!applyRecord(*frame.value(), content)) {
                return failure(ErrorKind::ChecksumMismatch,
                               "journal record is inconsistent with the records before it");
            }
            completeBytes += frameHeaderBytes + frame.value()->body.size();
        }
    }
}

} // namespace

Result<FileJournal> FileJournal::open(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const auto path = folder + "/journal.log";
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (file < 0) {
        return systemFailure("cannot open " + path);
    }
    ScopeGuard closeFile{[file] { ::close(file); }};
    JournalContent content;
    const auto completeBytes = readRecords(file, content);
    if (completeBytes.has_error()) {
        return completeBytes.as_failure();
    }
    const auto end = static_cast<off_t>(completeBytes.value());
    if (::ftruncate(file, end) != 0 || ::lseek(file, end, SEEK_SET) != end) {
        return systemFailure("cannot truncate " + path);
    }
    closeFile.dismiss();
    return FileJournal{file, std::move(content)};
}

FileJournal::FileJournal(int file, JournalContent content) noexcept
    : file_{file}
    , content_{std::move(content)}
{}

FileJournal::FileJournal(FileJournal &&other) noexcept
    : file_{std::exchange(other.file_, -1)}
    , content_{std::move(other.content_)}
{}

FileJournal::~FileJournal()
{
    if (file_ >= 0) {
        ::close(file_);
    }
}

void FileJournal::write(const std::string &record, bool sync)
{
    std::size_t written = 0;
    while (written < record.size()) {
        const auto count = ::write(file_, record.data() + written, record.size() - written);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        check(count > 0, "the journal is writable");
        written += static_cast<std::size_t>(count);
    }
    check(!sync || ::fdatasync(file_) == 0, "the journal is synced");
}

void FileJournal::fence(std::uint64_t term)
{
    write(frameOf(JournalFence{term}), true);
}

void FileJournal::append(const TransactionEntry &entry)
{
    write(frameOf(JournalEntry{entry}), false);
}

void FileJournal::truncateAfter(std::uint64_t index)
{
    write(frameOf(JournalTruncation{index}), true);
}

} // namespace hyssoprock::endpoint
