#include <hyssoprock/limits/memory_budget.hpp>

#include <algorithm>
#include <bit>
#include <limits>

namespace hyssoprock {

namespace {

// Reading stops at this share of a bound, before anything is closed: the rest is for the copies
// that messages in progress need.
constexpr std::size_t readingShare = 3;
constexpr std::size_t wholeShare = 4;

constexpr std::size_t readingBound(std::size_t bound) noexcept
{
    return bound / wholeShare * readingShare;
}

} // namespace

MemoryBudget::Rank MemoryBudget::rankOf(std::uint64_t connection, const Account &account) noexcept
{
    return Rank{static_cast<unsigned>(std::bit_width(account.bytes)),
                std::numeric_limits<std::uint64_t>::max() - account.work, connection};
}

MemoryDecision MemoryBudget::charge(std::uint64_t connection, const std::string &team,
                                    std::size_t bytes)
{
    auto &account = accounts_[connection];
    ranks_.erase(rankOf(connection, account));
    total_ -= account.bytes;
    if (!account.team.empty()) {
        teams_[account.team] -= account.bytes;
    }
    if (account.team != team) {
        if (!account.team.empty() && teams_[account.team] == 0) {
            teams_.erase(account.team);
        }
        account.team = team;
    }
    account.bytes = bytes;
    total_ += bytes;
    if (!team.empty()) {
        teams_[team] += bytes;
    }
    ranks_.insert(rankOf(connection, account));

    MemoryDecision decision;
    if (bytes > bounds_.connection) {
        decision.toClose.push_back(connection);
        release(connection);
    }
    if (const auto held = teams_.find(team); held != teams_.end() && held->second > bounds_.team) {
        closeLargest(&team, bounds_.team, decision.toClose);
    }
    if (total_ > bounds_.process) {
        closeLargest(nullptr, bounds_.process, decision.toClose);
    }
    decision.mayRead = mayRead(connection);
    return decision;
}

void MemoryBudget::closeLargest(const std::string *team, std::size_t bound,
                                std::vector<std::uint64_t> &closed)
{
    const auto held = [&]() {
        if (team == nullptr) {
            return total_;
        }
        const auto found = teams_.find(*team);
        return found == teams_.end() ? std::size_t{0} : found->second;
    };
    // Down to the bound at which reading goes on; a close at the bound itself would recur at once.
    for (auto rank = ranks_.end(); rank != ranks_.begin() && held() > readingBound(bound);) {
        --rank;
        const auto connection = rank->connection;
        if (team != nullptr && accounts_.at(connection).team != *team) {
            continue;
        }
        ++rank;
        closed.push_back(connection);
        release(connection);
    }
}

std::vector<std::uint64_t> MemoryBudget::makeRoom()
{
    std::vector<std::uint64_t> closed;
    std::vector<std::string> full;
    for (const auto &[team, held] : teams_) {
        if (held > readingBound(bounds_.team)) {
            full.push_back(team);
        }
    }
    for (const auto &team : full) {
        closeLargest(&team, bounds_.team, closed);
    }
    closeLargest(nullptr, bounds_.process, closed);
    return closed;
}

void MemoryBudget::recordWork(std::uint64_t connection)
{
    if (const auto found = accounts_.find(connection); found != accounts_.end()) {
        ranks_.erase(rankOf(connection, found->second));
        ++found->second.work;
        ranks_.insert(rankOf(connection, found->second));
    }
}

void MemoryBudget::release(std::uint64_t connection)
{
    const auto found = accounts_.find(connection);
    if (found == accounts_.end()) {
        return;
    }
    const auto &account = found->second;
    ranks_.erase(rankOf(connection, account));
    total_ -= account.bytes;
    if (const auto held = teams_.find(account.team);
        held != teams_.end() && (held->second -= account.bytes) == 0) {
        teams_.erase(held);
    }
    accounts_.erase(found);
}

bool MemoryBudget::mayRead(const Account &account) const
{
    if (account.bytes <= ordinaryBytes) {
        return true;
    }
    const auto held = teams_.find(account.team);
    return total_ <= readingBound(bounds_.process)
           && (held == teams_.end() || held->second <= readingBound(bounds_.team));
}

bool MemoryBudget::mayRead(std::uint64_t connection) const
{
    const auto found = accounts_.find(connection);
    return found == accounts_.end() || mayRead(found->second);
}

} // namespace hyssoprock
