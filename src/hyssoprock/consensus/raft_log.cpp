#include <hyssoprock/consensus/raft_log.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

// Position, kind and length of the payload.
constexpr std::uint64_t entryOverheadBytes = 32;

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
{
    for (const auto &entry : restored.entries) {
        check(entry.position.index == last().index + 1, "restored entries follow the snapshot");
        push(entry);
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

std::vector<LogEntry> RaftLog::slice(std::uint64_t from, std::size_t most,
                                     std::uint64_t bytesMost) const
{
    check(from > base_.index, "the log slice is in memory");
    const auto begin = std::min<std::size_t>(from - base_.index - 1, entries_.size());
    auto end = begin + std::min(most, entries_.size() - begin);
    while (end > begin + 1 && bytesBetween(from - 1, base_.index + end) > bytesMost) {
        --end;
    }
    return {entries_.begin() + static_cast<std::ptrdiff_t>(begin),
            entries_.begin() + static_cast<std::ptrdiff_t>(end)};
}

void RaftLog::push(LogEntry entry)
{
    ends_.push_back(endAt(last().index) + entry.payload.size() + entryOverheadBytes);
    entries_.push_back(std::move(entry));
}

std::uint64_t RaftLog::endAt(std::uint64_t index) const noexcept
{
    const auto known = std::min(index, last().index);
    return known <= base_.index ? baseEnd_ : ends_[known - base_.index - 1];
}

std::uint64_t RaftLog::bytesBetween(std::uint64_t after, std::uint64_t through) const noexcept
{
    return through > after ? endAt(through) - endAt(after) : 0;
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
    push(std::move(entry));
}

void RaftLog::truncateFrom(std::uint64_t from)
{
    check(from > snapshotIndex(), "a snapshot's entries are not truncated");
    if (from > last().index) {
        return;
    }
    entries_.resize(from - base_.index - 1);
    ends_.resize(entries_.size());
    findVoters();
}

void RaftLog::compact(RaftSnapshot snapshot, std::size_t retain, std::uint64_t retainBytes)
{
    const auto index = snapshot.last.index;
    check(termAt(index) == snapshot.last.term, "a snapshot of the log ends at one of its entries");
    auto newBase = std::max(base_.index, index - std::min<std::uint64_t>(retain, index));
    while (bytesBetween(newBase, index) > retainBytes) {
        ++newBase;
    }
    const LogPosition base{*termAt(newBase), newBase};
    const auto baseEnd = endAt(newBase);
    const auto dropped = static_cast<std::ptrdiff_t>(newBase - base_.index);
    entries_.erase(entries_.begin(), entries_.begin() + dropped);
    ends_.erase(ends_.begin(), ends_.begin() + dropped);
    base_ = base;
    baseEnd_ = baseEnd;
    snapshot_ = std::move(snapshot);
    findVoters();
}

void RaftLog::reset(RaftSnapshot snapshot)
{
    base_ = snapshot.last;
    entries_.clear();
    ends_.clear();
    baseEnd_ = 0;
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
