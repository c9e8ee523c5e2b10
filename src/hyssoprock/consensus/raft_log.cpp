#include <hyssoprock/consensus/raft_log.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

std::vector<std::string> decodeVoters(const LogEntry &entry)
{
    auto decoded = decode<VoterList>(entry.payload);
    check(decoded.has_value(), "a voters entry of the log can be decoded");
    return std::move(decoded.value().voters);
}

} // namespace

RaftLog::RaftLog(const RestoredState &restored, std::vector<std::string> initialVoters)
    : initialVoters_{std::move(initialVoters)}
    , snapshot_{restored.snapshot}
    , base_{snapshot_ ? snapshot_->last : LogPosition{}}
    , entries_{restored.entries}
{
    auto expected = base_.index;
    for (const auto &entry : entries_) {
        check(entry.position.index == ++expected, "restored entries follow the snapshot");
    }
    findVoters();
}

LogPosition RaftLog::last() const noexcept
{
    return entries_.empty() ? base_ : entries_.back().position;
}

std::uint64_t RaftLog::snapshotIndex() const noexcept
{
    return snapshot_ ? snapshot_->last.index : 0;
}

std::optional<std::uint64_t> RaftLog::termAt(std::uint64_t index) const noexcept
{
    if (index == base_.index) {
        return base_.term;
    }
    if (index < base_.index || index > last().index) {
        return std::nullopt;
    }
    return entries_[index - base_.index - 1].position.term;
}

const LogEntry &RaftLog::at(std::uint64_t index) const
{
    check(index > base_.index && index <= last().index, "the log entry is in memory");
    return entries_[index - base_.index - 1];
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t from, std::size_t most) const
{
    check(from > base_.index, "the log slice is in memory");
    const auto begin = std::min<std::size_t>(from - base_.index - 1, entries_.size());
    const auto end = begin + std::min(most, entries_.size() - begin);
    return {entries_.begin() + static_cast<std::ptrdiff_t>(begin),
            entries_.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::vector<std::string> RaftLog::votersAt(std::uint64_t index) const
{
    for (auto i = std::min(index, last().index); i > snapshotIndex(); --i) {
        if (at(i).kind == LogEntryKind::Voters) {
            return decodeVoters(at(i));
        }
    }
    return snapshot_ ? snapshot_->voters : initialVoters_;
}

void RaftLog::append(LogEntry entry)
{
    check(entry.position.index == last().index + 1, "an appended entry follows the last one");
    check(entry.position.term >= last().term, "terms in the log never decrease");
    if (entry.kind == LogEntryKind::Voters) {
        voters_ = decodeVoters(entry);
        votersIndex_ = entry.position.index;
    }
    entries_.push_back(std::move(entry));
}

void RaftLog::truncateFrom(std::uint64_t from)
{
    check(from > snapshotIndex(), "a snapshot's entries are not truncated");
    if (from > last().index) {
        return;
    }
    entries_.resize(from - base_.index - 1);
    findVoters();
}

void RaftLog::compact(RaftSnapshot snapshot, std::size_t retain)
{
    const auto index = snapshot.last.index;
    check(termAt(index) == snapshot.last.term, "a snapshot of the log ends at one of its entries");
    const auto newBase = std::max(base_.index, index - std::min<std::uint64_t>(retain, index));
    const LogPosition base{*termAt(newBase), newBase};
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(newBase - base_.index));
    base_ = base;
    snapshot_ = std::move(snapshot);
    findVoters();
}

void RaftLog::reset(RaftSnapshot snapshot)
{
    base_ = snapshot.last;
    entries_.clear();
    snapshot_ = std::move(snapshot);
    findVoters();
}

void RaftLog::findVoters()
{
    votersIndex_ = snapshotIndex();
    for (auto i = last().index; i > snapshotIndex(); --i) {
        if (at(i).kind == LogEntryKind::Voters) {
            votersIndex_ = i;
            break;
        }
    }
    voters_ = votersAt(votersIndex_);
}

} // namespace hyssoprock
