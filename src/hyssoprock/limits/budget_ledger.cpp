#include <hyssoprock/limits/budget_ledger.hpp>

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

void BudgetLedger::apply(const std::vector<BudgetGrant> &grants, Instant expiry)
{
    for (auto &[endpoint, account] : accounts_) {
        account.budget = 0;
    }
    for (const auto &grant : grants) {
        accounts_[grant.endpoint].budget = grant.connections;
    }
    std::erase_if(accounts_, [](const auto &entry) {
        return entry.second.budget == 0 && entry.second.open == 0;
    });
    expiry_ = expiry;
}

bool BudgetLedger::tryOpen(const std::string &endpoint, Instant now)
{
    if (open(endpoint) >= limit(endpoint, now)) {
        return false;
    }
    ++accounts_[endpoint].open;
    return true;
}

void BudgetLedger::closed(const std::string &endpoint)
{
    const auto account = accounts_.find(endpoint);
    check(account != accounts_.end() && account->second.open > 0,
          "a connection is closed only after it was counted as open");
    --account->second.open;
}

std::uint32_t BudgetLedger::limit(const std::string &endpoint, Instant now) const
{
    const auto account = accounts_.find(endpoint);
    return account == accounts_.end() || now >= expiry_ ? 0U : account->second.budget;
}

std::uint32_t BudgetLedger::open(const std::string &endpoint) const
{
    const auto account = accounts_.find(endpoint);
    return account == accounts_.end() ? 0U : account->second.open;
}

std::uint32_t BudgetLedger::excess(const std::string &endpoint, Instant now) const
{
    const auto used = open(endpoint);
    const auto allowed = limit(endpoint, now);
    return used > allowed ? used - allowed : 0U;
}

BudgetDemand BudgetLedger::demand(const std::string &endpoint, std::uint32_t waiting,
                                  std::uint32_t warm, Instant now) const
{
    // Connections over the budget still occupy the endpoint until they are closed.
    const auto used = open(endpoint);
    const auto held = std::max(limit(endpoint, now), used);
    return BudgetDemand{endpoint, held, used + waiting + warm};
}

} // namespace hyssoprock
