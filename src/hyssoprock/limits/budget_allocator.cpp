#include <hyssoprock/limits/budget_allocator.hpp>

#include <algorithm>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

void BudgetAllocator::reset(Instant now, Duration previousGrantsLifetime)
{
    endpoints_.clear();
    previousGrantsUntil_ = now + previousGrantsLifetime;
}

std::vector<BudgetGrant> BudgetAllocator::renew(const std::string &host,
                                                const std::vector<BudgetDemand> &demand,
                                                const std::vector<EndpointLimit> &limits,
                                                Instant now, Duration grantLifetime)
{
    std::vector<BudgetGrant> grants;
    for (const auto &[endpoint, held, wanted] : demand) {
        const auto limit = std::ranges::find(limits, endpoint, &EndpointLimit::endpoint);
        if (limit == limits.end()) {
            continue;
        }
        auto &shares = endpoints_[endpoint];
        dropExpired(shares, now);
        auto &share = shares[host];
        share.wanted = wanted;

        std::uint32_t connections = 0;
        if (now < previousGrantsUntil_) {
            connections = std::min(held, std::max(wanted, 1U));
        } else {
            const auto capacity =
                limit->connections > reservedConnections_
                    ? static_cast<std::uint32_t>(limit->connections - reservedConnections_)
                    : 0U;
            const auto others = outstandingOfOthers(shares, host, now);
            const auto available = capacity > others ? capacity - others : 0U;
            connections = std::min(fairShare(shares, host, capacity), available);
            check(connections == 0 || connections + others <= capacity,
                  "connection budgets stay within the endpoint's limit");
        }
        record(share, connections, now, now + grantLifetime);
        grants.push_back(BudgetGrant{endpoint, connections});
    }
    return grants;
}

std::uint32_t BudgetAllocator::granted(const std::string &endpoint, Instant now) const
{
    const auto shares = endpoints_.find(endpoint);
    return shares == endpoints_.end() ? 0U : outstandingOfOthers(shares->second, {}, now);
}

std::uint32_t BudgetAllocator::outstanding(const HostShare &share, Instant now) noexcept
{
    std::uint32_t connectionsMax = 0;
    for (const auto &grant : share.grants) {
        if (grant.expiry > now) {
            connectionsMax = std::max(connectionsMax, grant.connections);
        }
    }
    return connectionsMax;
}

std::uint32_t BudgetAllocator::outstandingOfOthers(const Shares &shares, const std::string &host,
                                                   Instant now)
{
    std::uint32_t sum = 0;
    for (const auto &[name, share] : shares) {
        sum += name == host ? 0U : outstanding(share, now);
    }
    return sum;
}

std::uint32_t BudgetAllocator::fairShare(const Shares &shares, const std::string &host,
                                         std::uint32_t capacity)
{
    // Max-min fairness: what a host wants less than an equal part is divided among the others.
    std::vector<std::uint32_t> wanted;
    wanted.reserve(shares.size());
    for (const auto &[name, share] : shares) {
        wanted.push_back(share.wanted);
    }
    std::ranges::sort(wanted);
    const auto own = shares.find(host)->second.wanted;
    auto remaining = capacity;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const auto hostsLeft = static_cast<std::uint32_t>(wanted.size() - i);
        const auto equalPart = remaining / hostsLeft;
        if (wanted[i] > equalPart) {
            return std::min(own, equalPart);
        }
        remaining -= wanted[i];
    }
    return own;
}

void BudgetAllocator::record(HostShare &share, std::uint32_t connections, Instant now,
                             Instant expiry)
{
    // A grant that is no greater and expires no later than the new one is redundant.
    std::erase_if(share.grants, [&](const Grant &grant) {
        return grant.expiry <= now || (grant.connections <= connections && grant.expiry <= expiry);
    });
    share.grants.push_back(Grant{connections, expiry});
}

void BudgetAllocator::dropExpired(Shares &shares, Instant now)
{
    std::erase_if(shares, [now](const auto &entry) {
        const auto &grants = entry.second.grants;
        return std::ranges::all_of(grants,
                                   [now](const Grant &grant) { return grant.expiry <= now; });
    });
}

} // namespace hyssoprock
