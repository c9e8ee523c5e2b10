// Loads arbitrary bytes as the log and the snapshot of a control host, unchanged or as records with
// valid checksums. A state that loads must load again unchanged and accept further records.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/catalog.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/storage/raft_storage.hpp>
#include <hyssoprock/storage/record.hpp>

#include "support/memory_file_system.hpp"

namespace {

using namespace hyssoprock;

constexpr auto folder = "raft";
constexpr auto firstSegment = "raft/000000000001.log";
constexpr auto secondSegment = "raft/000000000002.log";
constexpr auto snapshotFile = "raft/snapshot";
constexpr char separator = '\xff'; ///< Separates the records in the input.

enum Mode : std::uint8_t { RawLog, RawSnapshot, Records, SnapshotRecord, TwoSegments, ModeCount };

void writeFile(test::MemoryFileSystem &files, const std::string &path, const std::string &content)
{
    check(files.open(path).has_value(), "the in-memory file system creates a file");
    files.overwrite(path, content);
}

std::vector<std::string> splitParts(std::string_view bytes)
{
    std::vector<std::string> parts;
    while (true) {
        const auto end = bytes.find(separator);
        parts.emplace_back(bytes.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        bytes.remove_prefix(end + 1);
    }
}

std::string encodeRecords(std::string_view bytes)
{
    std::string content;
    for (const auto &part : splitParts(bytes)) {
        content += encodeRecord(part);
    }
    return content;
}

void writeFiles(test::MemoryFileSystem &files, std::uint8_t mode, std::string_view bytes)
{
    const auto middle = bytes.size() / 2;
    switch (mode) {
    case RawLog:
        writeFile(files, firstSegment, std::string{bytes});
        break;
    case RawSnapshot:
        writeFile(files, snapshotFile, std::string{bytes});
        break;
    case Records:
        writeFile(files, firstSegment, encodeRecords(bytes));
        break;
    case SnapshotRecord:
        writeFile(files, snapshotFile, encodeRecord(bytes.substr(0, middle)));
        writeFile(files, firstSegment, encodeRecords(bytes.substr(middle)));
        break;
    default:
        writeFile(files, firstSegment, encodeRecords(bytes.substr(0, middle)));
        writeFile(files, secondSegment, std::string{bytes.substr(middle)});
        break;
    }
}

bool equal(const RestoredState &left, const RestoredState &right)
{
    return left.hardState == right.hardState && left.snapshot == right.snapshot
           && left.entries == right.entries;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes{reinterpret_cast<const char *>(data) + 1, size - 1};
    test::MemoryFileSystem files;
    writeFiles(files, data[0] % ModeCount, bytes);
    RaftStorage storage{files, folder};
    const auto first = storage.load();
    if (first.has_error()) {
        check(!first.error().detail.empty(), "a storage error has a detail text");
        return 0;
    }
    const auto &state = first.value();
    if (state.snapshot) {
        (void)decode<CatalogSnapshot>(state.snapshot->state);
    }
    const auto second = RaftStorage{files, folder}.load();
    check(second.has_value() && equal(state, second.value()),
          "a loaded state loads again unchanged");

    raft::Persist persist;
    persist.hardState = HardState{};
    persist.hardState->term = state.hardState.term + 1;
    check(storage.execute(persist).has_value(), "a loaded storage accepts a further record");
    files.crash(nullptr);
    auto expected = state;
    expected.hardState = *persist.hardState;
    const auto third = RaftStorage{files, folder}.load();
    check(third.has_value() && equal(expected, third.value()), "a synced record is kept");
    return 0;
}
