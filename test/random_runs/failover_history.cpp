#include "failover_history.hpp"

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::random_runs::failover {

void History::acknowledged(const std::string &group, const AcknowledgedWrite &write)
{
    const auto &terms = primaries_[group];
    check(terms.contains(write.position.term), "a write is acknowledged only in an active term");
    check(terms.rbegin()->first == write.position.term,
          "no write is acknowledged after the primary of a later term was activated");
    auto &writes = writes_[group];
    if (!writes.empty() && writes.back().position.term < write.position.term) {
        gaps_.push_back(write.at - writes.back().at);
    }
    writes.push_back(write);
}

void History::activated(const std::string &group, std::uint64_t term, const FakeEndpoint &primary)
{
    auto &terms = primaries_[group];
    check(!terms.contains(term), "a term has at most one active primary");
    check(terms.empty() || terms.rbegin()->first < term, "terms of active primaries rise");
    terms.emplace(term, primary.name());
    checkLog(group, primary);
}

void History::checkLog(const std::string &group, const FakeEndpoint &primary) const
{
    const auto found = writes_.find(group);
    if (found == writes_.end()) {
        return;
    }
    for (const auto &write : found->second) {
        check(primary.holds(write.position, write.id),
              "an acknowledged write is in the log of every later primary");
    }
}

Duration History::lastAcknowledged(const std::string &group) const
{
    const auto found = writes_.find(group);
    return found == writes_.end() || found->second.empty() ? Duration{0} : found->second.back().at;
}

std::uint64_t History::count() const noexcept
{
    std::uint64_t count = 0;
    for (const auto &[group, writes] : writes_) {
        count += writes.size();
    }
    return count;
}

} // namespace hyssoprock::random_runs::failover
