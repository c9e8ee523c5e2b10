#include <hyssoprock/consensus/raft_log.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

// Size of position, kind and length of the payload.
constexpr std::uint64_t entryOverheadBytes = 32;

std::vector<std::string> decodeVoters(const LogEntry &entry)
{
    auto decoded = decode<VoterList>(entry.payload);
    check(decoded.has_value(), "voters entries of the log can be decoded");
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
    updateVoters();
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

std::vector<LogEntry> RaftLog::slice(std::uint64_t from, std::size_t countMax,
                                     std::uint64_t bytesMax) const
{
    check(from > base_.index, "the log slice is in memory");
    const auto begin = std::min<std::size_t>(from - base_.index - 1, entries_.size());
    auto end = begin + std::min(countMax, entries_.size() - begin);
    while (end > begin + 1 && bytesBetween(from - 1, base_.index + end) > bytesMax) {
        --end;
    }
    return {entries_.begin() + static_cast<std::ptrdiff_t>(begin),
            entries_.begin() + static_cast<std::ptrdiff_t>(end)};
}

void RaftLog::push(LogEntry entry)
{
    cumulativeBytes_.push_back(cumulativeBytesAt(last().index) + entry.payload.size()
                               + entryOverheadBytes);
    entries_.push_back(std::move(entry));
}

std::uint64_t RaftLog::cumulativeBytesAt(std::uint64_t index) const noexcept
{
    const auto known = std::min(index, last().index);
    return known <= base_.index ? baseCumulativeBytes_ : cumulativeBytes_[known - base_.index - 1];
}

std::uint64_t RaftLog::bytesBetween(std::uint64_t after, std::uint64_t through) const noexcept
{
    return through > after ? cumulativeBytesAt(through) - cumulativeBytesAt(after) : 0;
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
    check(from > snapshotIndex(), "entries of the snapshot are not truncated");
    if (from > last().index) {
        return;
    }
    entries_.resize(from - base_.index - 1);
    cumulativeBytes_.resize(entries_.size());
    updateVoters();
}

void RaftLog::compact(RaftSnapshot snapshot, std::size_t retainedCountMax,
                      std::uint64_t retainedBytesMax)
{
    const auto index = snapshot.last.index;
    check(termAt(index) == snapshot.last.term, "a snapshot of the log ends at one of its entries");
    auto newBase = std::max(base_.index, index - std::min<std::uint64_t>(retainedCountMax, index));
    while (bytesBetween(newBase, index) > retainedBytesMax) {
        ++newBase;
    }
    const LogPosition base{*termAt(newBase), newBase};
    const auto baseCumulativeBytes = cumulativeBytesAt(newBase);
    const auto dropped = static_cast<std::ptrdiff_t>(newBase - base_.index);
    entries_.erase(entries_.begin(), entries_.begin() + dropped);
    cumulativeBytes_.erase(cumulativeBytes_.begin(), cumulativeBytes_.begin() + dropped);
    base_ = base;
    baseCumulativeBytes_ = baseCumulativeBytes;
    snapshot_ = std::move(snapshot);
    updateVoters();
}

void RaftLog::reset(RaftSnapshot snapshot)
{
    base_ = snapshot.last;
    entries_.clear();
    cumulativeBytes_.clear();
    baseCumulativeBytes_ = 0;
    snapshot_ = std::move(snapshot);
    updateVoters();
}

void RaftLog::updateVoters()
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
