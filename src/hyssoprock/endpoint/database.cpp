#include <hyssoprock/endpoint/database.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::endpoint {

Database::Database(std::string name, Duration lag, Journal &journal)
    : replication_{std::move(name), journal}
    , lag_{lag}
{}

void Database::restore(std::uint64_t fencedTerm, std::vector<TransactionEntry> entries)
{
    replication_.restore(fencedTerm, std::move(entries));
    applyUpTo(replication_.log().last().index);
}

Result<LogPosition> Database::fence(std::uint64_t term)
{
    return replication_.fence(term);
}

Result<LogPosition> Database::promote(std::uint64_t term, std::vector<Voter> voters)
{
    auto position = replication_.promote(term, std::move(voters));
    if (position.has_value()) {
        arrivals_.clear();
        applyUpTo(replication_.log().last().index);
    }
    return position;
}

Result<LogPosition> Database::follow(std::uint64_t term, std::string primary, std::string address)
{
    return replication_.follow(term, std::move(primary), std::move(address));
}

Result<LogPosition> Database::changeVoters(std::uint64_t term, std::vector<Voter> voters,
                                           std::uint64_t version)
{
    return replication_.changeVoters(term, std::move(voters), version);
}

std::optional<ReplicaEntries> Database::handleFetch(const ReplicaFetch &fetch)
{
    return replication_.handleFetch(fetch);
}

bool Database::handleEntries(const ReplicaEntries &answer, Instant now)
{
    const auto before = replication_.log().last();
    const auto progress = replication_.handleEntries(answer);
    if (progress.truncated) {
        std::erase_if(arrivals_,
                      [&progress](const Arrival &a) { return a.index > progress.keptIndex; });
        // Row changes cannot be undone, so the tables are rebuilt from the log.
        if (visibleIndex_ > progress.keptIndex) {
            tables_.clear();
            visibleIndex_ = 0;
            applyUpTo(progress.keptIndex);
        }
    }
    const auto last = replication_.log().last();
    if (last != before || progress.truncated) {
        arrivals_.push_back({now, last.index});
    }
    applyDue(now);
    return progress.accepted;
}

void Database::applyDue(Instant now)
{
    while (!arrivals_.empty() && arrivals_.front().arrivedAt + lag_ <= now) {
        applyUpTo(arrivals_.front().index);
        arrivals_.pop_front();
    }
}

std::optional<Instant> Database::nextDeadline() const noexcept
{
    if (arrivals_.empty()) {
        return std::nullopt;
    }
    return arrivals_.front().arrivedAt + lag_;
}

void Database::applyUpTo(std::uint64_t index)
{
    check(index <= replication_.log().last().index, "only entries in the log become visible");
    while (visibleIndex_ < index) {
        tables_.apply(replication_.log().at(++visibleIndex_));
    }
}

Result<LogPosition> Database::commit(std::vector<RowChange> changes, std::uint64_t term)
{
    if (replication_.role() == Role::Primary && replication_.term() != term) {
        return failure(ErrorKind::ReadOnlyEndpoint, "the transaction began in another term");
    }
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> numbers;
    std::map<std::string, std::uint64_t> next;
    for (auto &change : changes) {
        if (change.row < firstProvisionalRow) {
            continue;
        }
        const auto [number, isNew] = numbers.try_emplace({change.table, change.row}, 0);
        if (isNew) {
            const auto *table = tables_.find(change.table);
            auto &free =
                next.try_emplace(change.table, table ? table->nextRowNumber() : 1).first->second;
            number->second = free++;
        }
        change.row = number->second;
    }
    auto position = replication_.append(std::move(changes));
    if (position.has_value()) {
        applyUpTo(position.value().index);
    }
    return position;
}

bool Database::lockTable(const std::string &table, std::uint64_t owner)
{
    return locks_.try_emplace(table, owner).first->second == owner;
}

void Database::unlockTables(std::uint64_t owner)
{
    std::erase_if(locks_, [owner](const auto &lock) { return lock.second == owner; });
}

LogPosition Database::visiblePosition() const noexcept
{
    return {replication_.log().termAt(visibleIndex_), visibleIndex_};
}

} // namespace hyssoprock::endpoint
