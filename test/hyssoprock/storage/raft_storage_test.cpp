#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/core/scope_guard.hpp>
#include <hyssoprock/storage/posix_file_system.hpp>
#include <hyssoprock/storage/raft_storage.hpp>
#include <support/memory_file_system.hpp>

using namespace hyssoprock;
using test::MemoryFileSystem;

namespace {

LogEntry entryAt(std::uint64_t term, std::uint64_t index)
{
    return {{term, index}, LogEntryKind::Command, "command " + std::to_string(index)};
}

raft::Persist entries(std::uint64_t term, std::uint64_t first, std::uint64_t last)
{
    raft::Persist action;
    for (auto index = first; index <= last; ++index) {
        action.entries.push_back(entryAt(term, index));
    }
    return action;
}

RaftSnapshot snapshotAt(std::uint64_t term, std::uint64_t index)
{
    return {{term, index}, {"c1", "c2", "c3"}, "state"};
}

void storeVoteAndEntries(RaftStorage &storage)
{
    cr_assert(storage.load().has_value());
    raft::Persist vote;
    vote.hardState = HardState{3, "c2", false};
    cr_assert(storage.execute(vote).has_value());
    cr_assert(storage.execute(entries(2, 1, 10)).has_value());
}

} // namespace

// Guards against state that is lost in a restart, including the truncation of a log tail.
Test(raftStorage, restartRestoresEverything)
{
    MemoryFileSystem files;
    RaftStorage storage{files, "raft", 300};
    storeVoteAndEntries(storage);
    auto replacement = entries(3, 8, 9);
    replacement.truncateFrom = 8;
    cr_assert(storage.execute(replacement).has_value());
    files.crash(nullptr);
    RaftStorage again{files, "raft", 300};
    const auto state = again.load().value();
    cr_assert(state.hardState.votedFor == "c2");
    cr_assert_eq(state.entries.size(), 9);
    cr_assert_eq(state.entries.back().position.term, 3);
}

// Guards against a snapshot that loses the vote or later entries, or does not shorten the log.
Test(raftStorage, snapshotShortensTheLog)
{
    MemoryFileSystem files;
    RaftStorage storage{files, "raft", 300};
    storeVoteAndEntries(storage);
    cr_assert(storage.execute(raft::SaveSnapshot{snapshotAt(2, 7), false}).has_value());
    cr_assert_eq(files.list("raft").value().size(), 2);
    RaftStorage again{files, "raft", 300};
    const auto state = again.load().value();
    cr_assert_eq(state.hardState.term, 3);
    cr_assert_eq(state.snapshot->last.index, 7);
    cr_assert_eq(state.entries.size(), 3);
    cr_assert_eq(state.entries.front().position.index, 8);
}

// Guards against a gap or a divergent log tail after a crash between storing a snapshot of the
// leader and removing the log. Crashes at every operation, seeds 1 to 10.
Test(raftStorage, crashWhileALeadersSnapshotIsSaved)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (std::uint64_t operations = 0; operations < 14; ++operations) {
            RandomSource random{seed};
            MemoryFileSystem files;
            RaftStorage storage{files, "raft", 300};
            storeVoteAndEntries(storage);
            // Term 3 at index 8, so entries 8 to 10 of term 2 differ from the leader's.
            files.failAfterOperations(operations);
            const auto saved = storage.execute(raft::SaveSnapshot{snapshotAt(3, 8), true});
            files.crash(&random);
            RaftStorage again{files, "raft", 300};
            const auto state = again.load().value();
            cr_assert(state.hardState.votedFor == "c2");
            if (!state.snapshot) {
                cr_assert(saved.has_error());
                cr_assert_eq(state.entries.size(), 10);
                continue;
            }
            cr_assert(state.entries.empty(), "the divergent tail is not loaded");
            cr_assert(again.execute(entries(3, 9, 9)).has_value());
            RaftStorage third{files, "raft", 300};
            const auto last = third.load().value();
            cr_assert_eq(last.entries.size(), 1);
            cr_assert_eq(last.entries.front().position.term, 3);
        }
    }
}

// Guards against a full disk that damages the old snapshot or log, for every amount of free space.
Test(raftStorage, fullDiskDuringASnapshotLosesNothing)
{
    for (std::uint64_t space = 0; space < 1200; space += 10) {
        MemoryFileSystem files;
        RaftStorage storage{files, "raft", 300};
        storeVoteAndEntries(storage);
        std::uint64_t used = 0;
        const auto names = files.list("raft").value();
        for (const auto &name : names) {
            used += files.read("raft/" + name).value().size();
        }
        files.setCapacity(used + space);
        const auto saved = storage.execute(raft::SaveSnapshot{snapshotAt(2, 7), false});
        cr_assert(saved.has_value() || saved.error().kind == ErrorKind::StorageFull);
        const auto state = storage.load().value();
        cr_assert_eq(state.entries.back().position.index, 10);
        cr_assert_eq(state.entries.size(), state.snapshot ? 3 : 10);
        cr_assert(state.snapshot.has_value() || saved.has_error());
        cr_assert(state.hardState.votedFor == "c2");
    }
}

// Guards against a damaged file that is treated as a new or shorter one.
Test(raftStorage, damagedSnapshotIsAnError)
{
    MemoryFileSystem files;
    RaftStorage storage{files, "raft", 300};
    storeVoteAndEntries(storage);
    cr_assert(storage.execute(raft::SaveSnapshot{snapshotAt(2, 7), false}).has_value());
    files.flipBit("raft/snapshot", 30, 1);
    RaftStorage again{files, "raft", 300};
    cr_assert(again.load().error().kind == ErrorKind::ChecksumMismatch);
}

// Guards against differences between the simulated and the real file system.
Test(raftStorage, worksOnRealFiles)
{
    auto pattern = (std::filesystem::temp_directory_path() / "hyssoprock-XXXXXX").string();
    const std::string folder = ::mkdtemp(pattern.data());
    const ScopeGuard cleanUp{[&] { std::filesystem::remove_all(folder); }};
    PosixFileSystem files;
    const auto raftFolder = folder + "/data/raft";
    RaftStorage storage{files, raftFolder, 300};
    storeVoteAndEntries(storage);
    cr_assert(storage.execute(raft::SaveSnapshot{snapshotAt(2, 7), false}).has_value());
    cr_assert(storage.execute(entries(3, 11, 12)).has_value());
    const auto segment = files.list(raftFolder).value().front();
    auto file = files.open(raftFolder + "/" + segment).value();
    cr_assert(file->append("torn").has_value());

    RaftStorage again{files, raftFolder, 300};
    const auto state = again.load().value();
    cr_assert_eq(state.snapshot->last.index, 7);
    cr_assert_eq(state.entries.size(), 5);
    cr_assert(files.read(raftFolder + "/missing").error().kind == ErrorKind::StorageFailure);
    cr_assert(files.open(folder + "/no/folder/file").error().kind == ErrorKind::StorageFailure);
}

// Guards against reporting a full disk as a storage failure.
Test(raftStorage, fullDiskOfTheOperatingSystemIsStorageFull)
{
    PosixFileSystem files;
    auto device = files.open("/dev/full").value();
    cr_assert(device->append("bytes").error().kind == ErrorKind::StorageFull);
}

namespace {

/// What a host has told others, and so has to find again after a power loss.
struct Acknowledged
{
    HardState vote;
    LogPosition last;
};

/// Appends entries, replaces some, and takes snapshots, until an operation fails.
/// @return What was acknowledged, oldest first.
std::vector<Acknowledged> useStorage(MemoryFileSystem &files)
{
    std::vector<Acknowledged> result{{}};
    RaftStorage storage{files, "raft", 120};
    if (storage.load().has_error()) {
        return result;
    }
    Acknowledged current;
    for (std::uint64_t round = 1; round <= 3; ++round) {
        raft::Persist vote;
        vote.hardState = HardState{round, "c" + std::to_string(round), false};
        if (storage.execute(vote).has_error()) {
            return result;
        }
        current.vote = *vote.hardState;
        result.push_back(current);
        for (auto count = 0; count < 3; ++count) {
            const auto index = current.last.index + 1;
            if (storage.execute(entries(round, index, index)).has_error()) {
                return result;
            }
            current.last = {round, index};
            result.push_back(current);
        }
        // The last entry is appended before the snapshot and stays in the log.
        if (storage.execute(raft::SaveSnapshot{snapshotAt(round, current.last.index - 1), false})
                .has_error()) {
            return result;
        }
    }
    return result;
}

/// Checks that the storage can be opened and holds what was acknowledged last, or the operation in
/// progress.
void checkRestored(MemoryFileSystem &files, const Acknowledged &acknowledged)
{
    RaftStorage storage{files, "raft", 120};
    auto state = storage.load();
    cr_assert(state.has_value(), "%s", state.has_error() ? state.error().detail.c_str() : "");
    const auto &restored = state.value();
    cr_assert_geq(restored.hardState.term, acknowledged.vote.term);
    auto last = restored.snapshot ? restored.snapshot->last : LogPosition{};
    if (!restored.entries.empty()) {
        last = restored.entries.back().position;
    }
    cr_assert(last >= acknowledged.last);
    cr_assert(storage.execute(entries(9, last.index + 1, last.index + 1)).has_value());
}

} // namespace

// Guards against files of a power loss that keep a host from starting, and against the loss of what
// it has acknowledged: a power loss between any two operations, with each subset of the names that
// were not synced, followed by another one after the next start.
Test(raftStorage, everyPowerLossLeavesReadableFiles)
{
    MemoryFileSystem whole;
    (void)useStorage(whole);
    std::size_t losses = 0;
    std::size_t widest = 0;
    for (std::uint64_t operations = 0; operations <= whole.operations(); ++operations) {
        MemoryFileSystem files;
        files.failAfterOperations(operations);
        const auto acknowledged = useStorage(files).back();
        const auto names = files.unsyncedNames();
        widest = std::max(widest, names.size());
        for (std::uint64_t subset = 0; subset < std::uint64_t{1} << names.size(); ++subset) {
            std::vector<std::string> kept;
            for (std::size_t i = 0; i < names.size(); ++i) {
                if ((subset >> i & 1U) != 0) {
                    kept.push_back(names[i]);
                }
            }
            MemoryFileSystem lost;
            lost.copyFrom(files);
            lost.losePower(kept);
            checkRestored(lost, acknowledged);
            lost.losePower({});
            checkRestored(lost, acknowledged);
            ++losses;
        }
    }
    cr_assert_geq(widest, 3U, "several removals are pending at once");
    cr_assert_gt(losses, whole.operations());
}

// Guards against storage that fills the disk because one removal after the other fails, and against
// one lasting failure that keeps all later segments.
Test(raftStorage, segmentsThatCouldNotBeRemovedAreRemovedLater)
{
    MemoryFileSystem files;
    files.failRemovals(true);
    (void)useStorage(files);
    const auto kept = files.list("raft").value().size();
    files.failRemovals(false);
    RaftStorage storage{files, "raft", 120};
    cr_assert(storage.load().has_value());
    cr_assert_leq(files.list("raft").value().size(), 2U, "of %zu files", kept);
}

// Guards against taking real damage for the traces of a power loss: a segment is missing after the
// last replacement.
Test(raftStorage, aMissingSegmentIsStillRefused)
{
    MemoryFileSystem files;
    {
        RaftStorage storage{files, "raft", 120};
        storeVoteAndEntries(storage);
        for (std::uint64_t index = 11; index <= 16; ++index) {
            cr_assert(storage.execute(entries(3, index, index)).has_value());
        }
    }
    const auto segments = files.list("raft").value();
    cr_assert_geq(segments.size(), 4U);
    cr_assert(files.remove("raft/" + segments[segments.size() - 2]).has_value());
    RaftStorage again{files, "raft", 120};
    const auto state = again.load();
    cr_assert(state.has_error() && state.error().kind == ErrorKind::ChecksumMismatch);
}
