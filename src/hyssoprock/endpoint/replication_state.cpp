#include <hyssoprock/endpoint/replication_state.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::endpoint {

namespace {

/// Bounds the size of one answer; a replica far behind needs several fetches.
constexpr std::size_t answerEntryCountMax = 1000;
/// An answer ends with the entry that exceeds this, far below the size limit of a frame.
constexpr std::size_t answerBytesMax = std::size_t{4} * 1024 * 1024;

std::size_t approximateBytes(const TransactionEntry &entry) noexcept
{
    std::size_t bytes = sizeof(TransactionEntry);
    for (const auto &change : entry.changes) {
        bytes += sizeof(RowChange) + change.table.size();
        for (const auto &[column, value] : change.values) {
            bytes += sizeof(ColumnValue) + column.size() + (value ? value->size() : 0);
        }
    }
    return bytes;
}

} // namespace

Result<std::vector<Voter>> parseVoters(std::string_view text)
{
    std::vector<Voter> voters;
    std::set<std::string_view> names;
    while (!text.empty()) {
        const auto part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(part.size() + 1, text.size()));
        const auto equals = part.find('=');
        if (equals == std::string_view::npos || equals == 0
            || !names.insert(part.substr(0, equals)).second) {
            return failure(ErrorKind::InvalidValue, "voters must be name=address, each name once");
        }
        voters.push_back(
            {std::string{part.substr(0, equals)}, std::string{part.substr(equals + 1)}});
    }
    if (voters.empty()) {
        return failure(ErrorKind::InvalidValue, "a primary needs at least one voter");
    }
    return voters;
}

std::string formatVoters(const std::vector<Voter> &voters)
{
    std::string text;
    for (const auto &voter : voters) {
        text += (text.empty() ? "" : ",") + voter.name + "=" + voter.address;
    }
    return text;
}

std::string_view toString(Role role) noexcept
{
    switch (role) {
    case Role::Replica:
        return "replica";
    case Role::Primary:
        return "primary";
    case Role::Fenced:
        return "fenced";
    }
    return "invalid";
}

ReplicationState::ReplicationState(std::string name, Journal &journal)
    : name_{std::move(name)}
    , journal_{journal}
{}

void ReplicationState::restore(std::uint64_t fencedTerm, std::vector<TransactionEntry> entries)
{
    check(log_.last() == LogPosition{} && fencedTerm_ == 0,
          "only a new replication state is restored");
    fencedTerm_ = fencedTerm;
    for (auto &entry : entries) {
        log_.append(std::move(entry));
    }
}

Role ReplicationState::role() const noexcept
{
    if (!isPrimary_) {
        return Role::Replica;
    }
    return fencedTerm_ > term_ ? Role::Fenced : Role::Primary;
}

void ReplicationState::raiseFence(std::uint64_t term)
{
    if (term > fencedTerm_) {
        journal_.fence(term);
        fencedTerm_ = term;
    }
}

Result<LogPosition> ReplicationState::fence(std::uint64_t term)
{
    if (term < fencedTerm_) {
        return failure(ErrorKind::Refused, "fenced at term " + std::to_string(fencedTerm_));
    }
    raiseFence(term);
    return log_.last();
}

Result<LogPosition> ReplicationState::promote(std::uint64_t term, std::vector<Voter> voters)
{
    if (term < fencedTerm_) {
        return failure(ErrorKind::Refused, "fenced at term " + std::to_string(fencedTerm_));
    }
    if (term == term_ && isPrimary_) {
        return log_.last();
    }
    // A replica of the term already has a primary in that term. The term of the log is checked too:
    // after a restart it may be the only record of an earlier promotion.
    if (term <= term_ || term <= log_.last().term) {
        return failure(ErrorKind::Refused, "term " + std::to_string(term) + " is not new");
    }
    raiseFence(term);
    term_ = term;
    isPrimary_ = true;
    votersVersion_ = 0;
    voters_ = std::move(voters);
    replicaIndexes_.clear();
    primary_ = name_;
    primaryAddress_.clear();
    return append({});
}

Result<LogPosition> ReplicationState::follow(std::uint64_t term, std::string primary,
                                             std::string address)
{
    if (term < fencedTerm_ || term < term_) {
        return failure(ErrorKind::Refused, "fenced at term " + std::to_string(fencedTerm_)
                                               + ", following term " + std::to_string(term_));
    }
    if (isPrimary_ && term == term_) {
        return failure(ErrorKind::Refused, "this endpoint is the primary of the term");
    }
    if (primary == name_) {
        return failure(ErrorKind::Refused, "an endpoint cannot follow itself");
    }
    raiseFence(term);
    const bool sameTerm = term == term_;
    term_ = term;
    isPrimary_ = false;
    voters_.clear();
    replicaIndexes_.clear();
    primary_ = std::move(primary);
    primaryAddress_ = std::move(address);
    if (!sameTerm) {
        matchCandidate_ = log_.last();
    }
    return log_.last();
}

Result<LogPosition> ReplicationState::changeVoters(std::uint64_t term, std::vector<Voter> voters,
                                                   std::uint64_t version)
{
    if (role() != Role::Primary || term != term_) {
        return failure(ErrorKind::Refused, "not the primary of term " + std::to_string(term));
    }
    if (version < votersVersion_) {
        return failure(ErrorKind::Refused,
                       "voters of version " + std::to_string(votersVersion_) + " are in force");
    }
    votersVersion_ = version;
    voters_ = std::move(voters);
    advanceMajority();
    return log_.last();
}

Result<LogPosition> ReplicationState::append(std::vector<RowChange> changes)
{
    if (role() != Role::Primary) {
        return failure(ErrorKind::ReadOnlyEndpoint, "role " + std::string{toString(role())});
    }
    const LogPosition position{term_, log_.last().index + 1};
    TransactionEntry entry{position, std::move(changes)};
    journal_.append(entry);
    log_.append(std::move(entry));
    advanceMajority();
    return position;
}

void ReplicationState::advanceMajority()
{
    if (role() != Role::Primary) {
        return;
    }
    std::vector<std::uint64_t> heldIndexes;
    for (const auto &voter : voters_) {
        const auto known = replicaIndexes_.find(voter.name);
        heldIndexes.push_back(voter.name == name_              ? log_.last().index
                              : known != replicaIndexes_.end() ? known->second
                                                               : 0);
    }
    std::sort(heldIndexes.begin(), heldIndexes.end(), std::greater<>{});
    const auto index = heldIndexes[heldIndexes.size() / 2];
    // An entry of an earlier term is safe only together with one of this term: another endpoint
    // with a longer log of that term could still win an election otherwise.
    if (index > majorityIndex_ && log_.termAt(index) == term_) {
        majorityIndex_ = index;
    }
}

std::optional<ReplicaEntries> ReplicationState::handleFetch(const ReplicaFetch &fetch)
{
    ReplicaEntries answer;
    answer.term = term_;
    answer.previous = fetch.previous;
    if (role() != Role::Primary || fetch.term != term_) {
        return answer;
    }
    answer.accepted = true;
    if (!log_.contains(fetch.previous)) {
        answer.retryFrom = log_.newestNotAfter(fetch.previous);
        answer.majorityIndex = majorityIndex_;
        return answer;
    }
    // May decrease: a replica that restarted empty holds less than before.
    replicaIndexes_[fetch.from] = fetch.previous.index;
    advanceMajority();
    if (fetch.previous == log_.last() && fetch.majorityIndex >= majorityIndex_) {
        return std::nullopt;
    }
    return makeEntriesAnswer(fetch);
}

ReplicaEntries ReplicationState::makeEntriesAnswer(const ReplicaFetch &fetch) const
{
    const auto entries = log_.after(fetch.previous.index, answerEntryCountMax);
    ReplicaEntries answer;
    answer.term = term_;
    answer.accepted = true;
    answer.matches = true;
    answer.previous = fetch.previous;
    std::size_t bytes = 0;
    for (const auto &entry : entries) {
        answer.entries.push_back(entry);
        bytes += approximateBytes(entry);
        if (bytes > answerBytesMax) {
            break;
        }
    }
    answer.majorityIndex = majorityIndex_;
    return answer;
}

std::optional<ReplicaFetch> ReplicationState::makeFetch() const
{
    if (isPrimary_ || primaryAddress_.empty() || term_ < fencedTerm_) {
        return std::nullopt;
    }
    return ReplicaFetch{name_, term_, matchCandidate_, majorityIndex_};
}

ReplicationState::Progress ReplicationState::handleEntries(const ReplicaEntries &answer)
{
    Progress progress;
    progress.keptIndex = log_.last().index;
    if (isPrimary_ || term_ < fencedTerm_ || !answer.accepted || answer.term != term_
        || answer.previous != matchCandidate_) {
        return progress;
    }
    progress.accepted = true;
    if (!answer.matches) {
        matchCandidate_ = log_.newestNotAfter(answer.retryFrom);
        return progress;
    }
    for (const auto &entry : answer.entries) {
        if (!log_.contains(entry.position)) {
            if (entry.position.index <= log_.last().index) {
                check(entry.position.index > majorityIndex_,
                      "an entry that a majority holds is never truncated");
                journal_.truncateAfter(entry.position.index - 1);
                log_.truncateAfter(entry.position.index - 1);
                progress.keptIndex = std::min(progress.keptIndex, entry.position.index - 1);
                progress.truncated = true;
            }
            journal_.append(entry);
            log_.append(entry);
        }
        matchCandidate_ = entry.position;
    }
    majorityIndex_ =
        std::max(majorityIndex_, std::min(answer.majorityIndex, matchCandidate_.index));
    return progress;
}

} // namespace hyssoprock::endpoint
