#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/storage/durable_value.hpp>
#include <hyssoprock/storage/record.hpp>
#include <hyssoprock/storage/segmented_log.hpp>
#include <support/memory_file_system.hpp>

using namespace hyssoprock;
using test::MemoryFileSystem;

namespace {

constexpr std::uint64_t segmentBytes = 200;
const std::string firstSegment = "log/000000000001.log";

std::vector<std::string> recordsOf(MemoryFileSystem &files)
{
    SegmentedLog log{files, "log", segmentBytes};
    return log.open().value();
}

} // namespace

// Guards against an unreadable log after a crash during a write. Torn writes of every length.
Test(record, everyPrefixIsATornWrite)
{
    const auto first = encodeRecord("first record");
    const auto bytes = first + encodeRecord(std::string(1500, 'x'));
    for (auto length = first.size(); length < bytes.size(); ++length) {
        const auto scan = scanRecords(std::string_view{bytes}.substr(0, length));
        cr_assert(scan.has_value());
        cr_assert_eq(scan.value().bodies.size(), 1);
        cr_assert_eq(scan.value().intactBytes, first.size());
        cr_assert_eq(scan.value().torn, length > first.size());
    }
}

// Guards against treating unwritten sectors in a file that has grown as data.
Test(record, unwrittenSectorIsATornWrite)
{
    const auto first = encodeRecord("first record");
    const auto whole = first + encodeRecord(std::string(1500, 'x'));
    for (std::size_t sector = 0; sector * 512 < whole.size(); ++sector) {
        auto bytes = whole;
        const auto begin = std::max(first.size(), sector * 512);
        const auto end = std::min(whole.size(), (sector + 1) * 512);
        bytes.replace(begin, end - begin, end - begin, '\0');
        const auto scan = scanRecords(bytes);
        cr_assert(scan.has_value() && scan.value().torn);
        cr_assert_eq(scan.value().bodies.size(), 1);
    }
}

// Guards against treating a damaged record as a torn write, which would silently discard a synced
// vote or entry. Flips every bit.
Test(record, everyBitFlipIsAnError)
{
    const auto whole = encodeRecord("first") + encodeRecord("second") + encodeRecord("third");
    for (std::size_t byte = 0; byte < whole.size(); ++byte) {
        for (unsigned bit = 0; bit < 8; ++bit) {
            auto bytes = whole;
            bytes[byte] = static_cast<char>(bytes[byte] ^ (1U << bit));
            const auto scan = scanRecords(bytes);
            cr_assert(scan.has_error(), "byte %zu bit %u", byte, bit);
            cr_assert(scan.error().kind == ErrorKind::ChecksumMismatch);
        }
    }
}

// Guards against a torn write that prevents a start or hides later records.
Test(segmentedLog, tornTailIsRemovedAndWritingContinues)
{
    MemoryFileSystem files;
    SegmentedLog log{files, "log", segmentBytes};
    cr_assert(log.open().value().empty());
    cr_assert(log.append("one").has_value());
    cr_assert(log.append("two").has_value());
    const auto whole = files.read(firstSegment).value();
    files.overwrite(firstSegment, whole.substr(0, whole.size() - 2));

    SegmentedLog again{files, "log", segmentBytes};
    cr_assert(again.open().value() == std::vector<std::string>{"one"});
    cr_assert(again.append("three").has_value());
    const std::vector<std::string> expected{"one", "three"};
    cr_assert(recordsOf(files) == expected);
}

// Guards against undetected damage or an undetected missing file in the middle of the log.
Test(segmentedLog, damageBeforeTheTailIsAnError)
{
    MemoryFileSystem files;
    SegmentedLog log{files, "log", segmentBytes};
    cr_assert(log.open().has_value());
    for (int i = 0; i < 30; ++i) {
        cr_assert(log.append("record number " + std::to_string(i)).has_value());
    }
    cr_assert_eq(recordsOf(files).size(), 30);
    SegmentedLog again{files, "log", segmentBytes};

    const auto whole = files.read(firstSegment).value();
    files.overwrite(firstSegment, whole.substr(0, whole.size() - 3));
    cr_assert(again.open().error().kind == ErrorKind::ChecksumMismatch);
    files.overwrite(firstSegment, whole);
    files.flipBit(firstSegment, whole.size() / 2, 3);
    cr_assert(again.open().error().kind == ErrorKind::ChecksumMismatch);
    files.overwrite(firstSegment, whole);
    cr_assert(again.open().has_value());
    cr_assert(files.remove("log/000000000002.log").has_value());
    cr_assert(again.open().error().kind == ErrorKind::ChecksumMismatch);
    cr_assert(again.append("after damage").error().kind == ErrorKind::StorageFailure);
}

// Guards against a full disk that damages synced records, for every amount of free space.
Test(segmentedLog, fullDiskLeavesSyncedRecordsIntact)
{
    for (std::uint64_t space = 0; space < 120; ++space) {
        MemoryFileSystem files;
        SegmentedLog log{files, "log", segmentBytes};
        cr_assert(log.open().has_value());
        std::vector<std::string> written;
        for (int i = 0; i < 6; ++i) {
            written.push_back("record number " + std::to_string(i));
            cr_assert(log.append(written.back()).has_value());
        }
        files.setCapacity(6 * encodeRecord(written.front()).size() + space);
        const auto refused = log.append(std::string(120, 'y'));
        cr_assert(refused.error().kind == ErrorKind::StorageFull);
        cr_assert(recordsOf(files) == written);

        files.setCapacity(100000);
        written.emplace_back("space again");
        cr_assert(log.append(written.back()).has_value());
        cr_assert(recordsOf(files) == written);
    }
}

// Guards against a rejected record that is read after a restart.
Test(segmentedLog, recordOfAFailedSyncIsNotReadAgain)
{
    MemoryFileSystem files;
    SegmentedLog log{files, "log", segmentBytes};
    cr_assert(log.open().has_value());
    cr_assert(log.append("kept").has_value());
    files.failSyncs(true);
    cr_assert(log.append("refused").error().kind == ErrorKind::StorageFailure);
    cr_assert(log.append("refused as well").has_error(), "the log must be opened again");
    files.failSyncs(false);
    cr_assert(recordsOf(files) == std::vector<std::string>{"kept"});
}

// Guards against losing both old and new records in a crash during the replacement. Crashes at
// every operation, seeds 1 to 20.
Test(segmentedLog, crashDuringReplacementKeepsOldOrNew)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (std::uint64_t operations = 0; operations < 10; ++operations) {
            RandomSource random{seed};
            MemoryFileSystem files;
            SegmentedLog log{files, "log", segmentBytes};
            cr_assert(log.open().has_value());
            for (int i = 0; i < 20; ++i) {
                cr_assert(log.append("record number " + std::to_string(i)).has_value());
            }
            files.failAfterOperations(operations);
            const auto replaced = log.replaceAll("replacement");
            files.crash(&random);
            const auto records = recordsOf(files);
            const auto isNew = !records.empty() && records.back() == "replacement";
            cr_assert(isNew || records.size() == 20);
            cr_assert(isNew || replaced.has_error());
        }
    }
}

// Guards against a value that is neither the old nor the new one after a crash, and against success
// without the new value. Crashes at every operation, seeds 1 to 20.
Test(durableValue, crashLeavesOldOrNewValue)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (std::uint64_t operations = 0; operations < 8; ++operations) {
            RandomSource random{seed};
            MemoryFileSystem files;
            DurableValue value{files, "data", "revision"};
            cr_assert_not(value.load().value().has_value());
            cr_assert(value.store("41").has_value());
            files.failAfterOperations(operations);
            const auto stored = value.store("42");
            files.crash(&random);
            const auto loaded = value.load().value();
            cr_assert(loaded == "42" || (loaded == "41" && stored.has_error()));
        }
    }
}

// Guards against loading a damaged value, and against losing the old value on a full disk.
Test(durableValue, damageIsAnErrorAndFullDiskKeepsTheOldValue)
{
    MemoryFileSystem files;
    DurableValue value{files, "data", "revision"};
    cr_assert(value.store("41").has_value());
    files.setCapacity(20);
    cr_assert(value.store("42").error().kind == ErrorKind::StorageFull);
    cr_assert(value.load().value() == "41");
    const auto size = files.read("data/revision").value().size();
    for (std::size_t byte = 0; byte < size; ++byte) {
        files.flipBit("data/revision", byte, 2);
        cr_assert(value.load().error().kind == ErrorKind::ChecksumMismatch);
        files.flipBit("data/revision", byte, 2);
    }
}

namespace {

/// Stores values until an operation fails.
/// @return The last value whose storing succeeded; empty if none did.
std::string storeValues(MemoryFileSystem &files, std::uint64_t count)
{
    std::string stored;
    DurableValue value{files, "folder", "value"};
    for (std::uint64_t i = 1; i <= count; ++i) {
        if (value.store("value " + std::to_string(i)).has_error()) {
            return stored;
        }
        stored = "value " + std::to_string(i);
    }
    return stored;
}

} // namespace

// Guards against a value that a power loss damages or takes back, with each subset of the names
// that were not synced, also if a temporary file was left behind by the one before.
Test(durableValue, survivesEveryPowerLoss)
{
    MemoryFileSystem whole;
    (void)storeValues(whole, 2);
    for (std::uint64_t operations = 0; operations <= whole.operations(); ++operations) {
        MemoryFileSystem files;
        files.failAfterOperations(operations);
        const auto stored = storeValues(files, 2);
        const auto names = files.unsyncedNames();
        for (std::uint64_t subset = 0; subset < std::uint64_t{1} << names.size(); ++subset) {
            std::vector<std::string> kept;
            for (std::size_t i = 0; i < names.size(); ++i) {
                if ((subset >> i & 1U) != 0) {
                    kept.push_back(names[i]);
                }
            }
            for (std::uint64_t later = 0; later <= whole.operations(); ++later) {
                MemoryFileSystem lost;
                lost.copyFrom(files);
                lost.losePower(kept);
                const DurableValue value{lost, "folder", "value"};
                const auto first = value.load();
                cr_assert(first.has_value());
                cr_assert(stored.empty() || first.value() >= stored);
                lost.failAfterOperations(later);
                const auto again = storeValues(lost, 2);
                lost.losePower(lost.unsyncedNames());
                const auto second = value.load();
                cr_assert(second.has_value());
                cr_assert(again.empty() ? first.value() == second.value() || second.value()
                                        : second.value() >= again);
            }
        }
    }
}
