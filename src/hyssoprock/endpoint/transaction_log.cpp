#include <hyssoprock/endpoint/transaction_log.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::endpoint {

LogPosition TransactionLog::last() const noexcept
{
    return entries_.empty() ? LogPosition{} : entries_.back().position;
}

std::uint64_t TransactionLog::termAt(std::uint64_t index) const noexcept
{
    return index == 0 || index > entries_.size() ? 0 : entries_[index - 1].position.term;
}

bool TransactionLog::contains(const LogPosition &position) const noexcept
{
    if (position.index == 0) {
        return position.term == 0;
    }
    return position.index <= entries_.size() && termAt(position.index) == position.term;
}

LogPosition TransactionLog::newestNotAfter(const LogPosition &other) const noexcept
{
    auto index = std::min<std::uint64_t>(other.index, entries_.size());
    while (index > 0 && termAt(index) > other.term) {
        --index;
    }
    return {termAt(index), index};
}

const TransactionEntry &TransactionLog::at(std::uint64_t index) const
{
    check(index >= 1 && index <= entries_.size(), "the log contains the requested entry");
    return entries_[index - 1];
}

std::span<const TransactionEntry> TransactionLog::after(std::uint64_t index,
                                                        std::size_t entryCountMax) const noexcept
{
    const std::span all{entries_};
    if (index >= all.size()) {
        return {};
    }
    return all.subspan(index,
                       std::min(entryCountMax, all.size() - static_cast<std::size_t>(index)));
}

void TransactionLog::append(TransactionEntry entry)
{
    check(entry.position.index == entries_.size() + 1, "log indexes have no gaps");
    check(entry.position.term >= last().term, "log terms never decrease");
    entries_.push_back(std::move(entry));
}

void TransactionLog::truncateAfter(std::uint64_t index)
{
    if (index < entries_.size()) {
        entries_.resize(static_cast<std::size_t>(index));
    }
}

} // namespace hyssoprock::endpoint
