// Loads arbitrary bytes as the log and the snapshot of a control host, as they are or as records
// with valid checksums. What loads must load again as the same, and must take further entries.

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
constexpr char separator = '\xff'; ///< Between two records or files of the input.

enum Mode : std::uint8_t { RawLog, RawSnapshot, Records, SnapshotRecord, TwoSegments, ModeCount };

void put(test::MemoryFileSystem &files, const std::string &path, const std::string &content)
{
    check(files.open(path).has_value(), "the file system in memory makes a file");
    files.overwrite(path, content);
}

std::vector<std::string> partsOf(std::string_view bytes)
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

std::string recordsOf(std::string_view bytes)
{
    std::string content;
    for (const auto &part : partsOf(bytes)) {
        content += encodeRecord(part);
    }
    return content;
}

void fill(test::MemoryFileSystem &files, std::uint8_t mode, std::string_view bytes)
{
    const auto middle = bytes.size() / 2;
    switch (mode) {
    case RawLog:
        put(files, firstSegment, std::string{bytes});
        break;
    case RawSnapshot:
        put(files, snapshotFile, std::string{bytes});
        break;
    case Records:
        put(files, firstSegment, recordsOf(bytes));
        break;
    case SnapshotRecord:
        put(files, snapshotFile, encodeRecord(bytes.substr(0, middle)));
        put(files, firstSegment, recordsOf(bytes.substr(middle)));
        break;
    default:
        put(files, firstSegment, recordsOf(bytes.substr(0, middle)));
        put(files, secondSegment, std::string{bytes.substr(middle)});
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
    fill(files, data[0] % ModeCount, bytes);
    RaftStorage storage{files, folder};
    const auto first = storage.load();
    if (first.has_error()) {
        check(!first.error().detail.empty(), "an error of storage says where it is");
        return 0;
    }
    const auto &state = first.value();
    if (state.snapshot) {
        (void)decode<CatalogSnapshot>(state.snapshot->state);
    }
    const auto second = RaftStorage{files, folder}.load();
    check(second.has_value() && equal(state, second.value()), "what loads, loads again");

    raft::Persist action;
    action.hardState = HardState{};
    action.hardState->term = state.hardState.term + 1;
    check(storage.execute(action).has_value(), "what was loaded takes a further record");
    files.crash(nullptr);
    auto expected = state;
    expected.hardState = *action.hardState;
    const auto third = RaftStorage{files, folder}.load();
    check(third.has_value() && equal(expected, third.value()), "a synced record is kept");
    return 0;
}
