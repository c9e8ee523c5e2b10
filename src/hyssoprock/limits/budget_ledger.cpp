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
        const auto &account = entry.second;
        return account.budget == 0 && account.open == 0 && account.localShare == 0;
    });
    expiry_ = expiry;
}

void BudgetLedger::setLocalShare(const std::string &endpoint, std::uint32_t connections)
{
    accounts_[endpoint].localShare = connections;
}

bool BudgetLedger::tryOpen(const std::string &endpoint, Instant now)
{
    if (open(endpoint) >= limit(endpoint, now)) {
        return false;
    }
    ++accounts_[endpoint].open;
    return true;
}

void BudgetLedger::recordClosed(const std::string &endpoint)
{
    const auto account = accounts_.find(endpoint);
    check(account != accounts_.end() && account->second.open > 0,
          "a connection is closed only after it was counted as open");
    --account->second.open;
}

std::uint32_t BudgetLedger::limit(const std::string &endpoint, Instant now) const
{
    const auto account = accounts_.find(endpoint);
    if (account == accounts_.end()) {
        return 0;
    }
    return account->second.localShare + (now < expiry_ ? account->second.budget : 0U);
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
                                  std::uint32_t idleReserve, Instant now) const
{
    // Connections over the budget count against the endpoint's limit until they are closed.
    const auto used = open(endpoint);
    const auto account = accounts_.find(endpoint);
    const auto share = account == accounts_.end() ? 0U : account->second.localShare;
    const auto beyondShare = [share](std::uint32_t connections) {
        return connections > share ? connections - share : 0U;
    };
    return BudgetDemand{endpoint, beyondShare(std::max(limit(endpoint, now), used)),
                        beyondShare(used + waiting + idleReserve)};
}

} // namespace hyssoprock
