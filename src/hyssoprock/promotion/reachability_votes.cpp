#include <hyssoprock/promotion/reachability_votes.hpp>

namespace hyssoprock {

void ReachabilityVotes::clear(std::string_view endpoint)
{
    if (const auto found = votes_.find(endpoint); found != votes_.end()) {
        votes_.erase(found);
    }
}

ReachabilityCount ReachabilityVotes::count(std::string_view endpoint,
                                           const std::set<std::string> &hosts, Instant now) const
{
    ReachabilityCount count;
    const auto found = votes_.find(endpoint);
    if (found == votes_.end()) {
        return count;
    }
    for (const auto &[host, vote] : found->second) {
        if (now - vote.at >= evidenceLifetime || !hosts.contains(host)
            || vote.reachability == Reachability::Unknown) {
            continue;
        }
        const auto expiry = vote.at + evidenceLifetime;
        if (!count.nextExpiry || expiry < *count.nextExpiry) {
            count.nextExpiry = expiry;
        }
        if (vote.reachability == Reachability::Silent
            || vote.reachability == Reachability::Refused) {
            ++count.unreachable;
            continue;
        }
        ++count.reachable;
        if (vote.reachability == Reachability::NotPrimary) {
            ++count.notPrimary;
        }
    }
    return count;
}

bool ReachabilityVotes::isUnreachable(std::string_view endpoint, const std::set<std::string> &hosts,
                                      Instant now) const
{
    const auto votes = count(endpoint, hosts, now);
    return votes.unreachable > votes.reachable && 2 * votes.unreachable >= hosts.size();
}

} // namespace hyssoprock
