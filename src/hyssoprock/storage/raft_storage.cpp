#include <hyssoprock/storage/raft_storage.hpp>

#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

RaftStorage::RaftStorage(FileSystem &files, std::string folder, std::uint64_t segmentBytes)
    : files_{files}
    , folder_{std::move(folder)}
    , snapshotValue_{files, folder_, "snapshot"}
    , log_{files, folder_, segmentBytes}
{}

Result<RestoredState> RaftStorage::load()
{
    hardState_ = {};
    entries_.clear();
    BOOST_OUTCOME_TRYV(files_.createFolder(folder_));
    RestoredState state;
    BOOST_OUTCOME_TRY(const auto stored, snapshotValue_.load());
    if (stored) {
        BOOST_OUTCOME_TRY(state.snapshot, decode<RaftSnapshot>(*stored));
    }
    BOOST_OUTCOME_TRY(const auto records, log_.open([](std::string_view bytes) {
        const auto record = decode<PersistRecord>(bytes);
        return record.has_value() && record.value().reset;
    }));
    BOOST_OUTCOME_TRYV(replay(records));
    const auto loadedCount = entries_.size();
    if (state.snapshot) {
        removeEntriesThrough(state.snapshot->last);
    }
    logOutdated_ = entries_.size() != loadedCount;
    const auto expectedIndex = (state.snapshot ? state.snapshot->last.index : 0) + 1;
    if (!entries_.empty() && entries_.front().position.index != expectedIndex) {
        return failure(ErrorKind::ChecksumMismatch,
                       folder_ + ": missing entries before " + toString(entries_.front().position));
    }
    state.hardState = hardState_;
    state.entries = entries_;
    return state;
}

Result<void> RaftStorage::replay(const std::vector<std::string> &records)
{
    for (const auto &bytes : records) {
        BOOST_OUTCOME_TRY(const auto record, decode<PersistRecord>(bytes));
        apply(record);
    }
    for (std::size_t i = 1; i < entries_.size(); ++i) {
        if (entries_[i].position.index != entries_[i - 1].position.index + 1) {
            return failure(ErrorKind::ChecksumMismatch,
                           folder_ + ": gap in the log before " + toString(entries_[i].position));
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void RaftStorage::apply(const PersistRecord &record)
{
    if (record.reset) {
        hardState_ = {};
        entries_.clear();
    }
    if (record.hardState) {
        hardState_ = *record.hardState;
    }
    if (record.truncateFrom > 0) {
        std::erase_if(entries_, [&](const LogEntry &entry) {
            return entry.position.index >= record.truncateFrom;
        });
    }
    entries_.insert(entries_.end(), record.entries.begin(), record.entries.end());
}

void RaftStorage::removeEntriesThrough(const LogPosition &position)
{
    // After a crash between storing a snapshot of the leader and removing the log, the entries may
    // differ from the leader's. They do if the terms at the end of the snapshot differ.
    for (const auto &entry : entries_) {
        if (entry.position.index == position.index && entry.position.term != position.term) {
            entries_.clear();
            return;
        }
    }
    std::erase_if(entries_,
                  [&](const LogEntry &entry) { return entry.position.index <= position.index; });
}

Result<void> RaftStorage::execute(const raft::Persist &action)
{
    const PersistRecord record{false, action.hardState, action.truncateFrom.value_or(0),
                               action.entries};
    if (logOutdated_) {
        // A snapshot was stored, but the log could not be shortened. Entries appended to the old
        // ones could leave a gap or conflict with them.
        apply(record);
        return rewriteLog();
    }
    BOOST_OUTCOME_TRYV(log_.append(encode(record)));
    apply(record);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RaftStorage::execute(const raft::SaveSnapshot &action)
{
    BOOST_OUTCOME_TRYV(snapshotValue_.store(encode(action.snapshot)));
    if (action.discardLog) {
        entries_.clear();
    } else {
        removeEntriesThrough(action.snapshot.last);
    }
    return rewriteLog();
}

Result<void> RaftStorage::rewriteLog()
{
    BOOST_OUTCOME_TRYV(log_.replaceAll(encode(PersistRecord{true, hardState_, 0, entries_})));
    logOutdated_ = false;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
