#include <hyssoprock/promotion/member_log.hpp>

#include <utility>
#include <vector>

namespace hyssoprock::internal {

void MemberLog::handle(const promotion::MembersProposalCompleted &event, Instant now)
{
    if (event.proposalId != openProposal_ || openProposal_ == 0) {
        return;
    }
    openProposal_ = 0;
    if (!event.committed) {
        // It may still be committed. Recording the same members again changes nothing.
        isRepeatNeeded_ = true;
        retryAt_ = now + proposalRetryDelay;
    }
}

void MemberLog::update(const KnownEndpoint *primary, Instant now)
{
    if (retryAt_ && now < *retryAt_) {
        scope_.evaluateBy(*retryAt_);
        return;
    }
    retryAt_.reset();
    if (openProposal_ != 0) {
        return;
    }
    if (scope_.synchronousReplicas() > 0) {
        proposeChanges(primary == nullptr ? recorded_.primaryAddress : primary->record.address);
    } else if (!recorded_.endpoints.empty() || isRepeatNeeded_) {
        scope_.log("forgets its members: it has no synchronous replicas any more");
        recorded_ = {};
        isRepeatNeeded_ = false;
        openProposal_ = scope_.propose({ForgetMembers{scope_.service()}});
    }
}

void MemberLog::proposeChanges(const std::string &primaryAddress)
{
    std::vector<ServiceMember> changed;
    for (const auto *const member : scope_.members()) {
        const auto &record = member->record;
        if (auto &endpoint = recorded_.endpoints[record.address]; endpoint != record.id) {
            endpoint = record.id;
            changed.push_back({record.address, record.id});
        }
    }
    if (changed.empty() && recorded_.primaryAddress == primaryAddress && !isRepeatNeeded_) {
        return;
    }
    if (std::exchange(isRepeatNeeded_, false)) {
        changed.clear();
        for (const auto &[address, endpoint] : recorded_.endpoints) {
            changed.push_back({address, endpoint});
        }
    }
    recorded_.primaryAddress = primaryAddress;
    openProposal_ =
        scope_.propose({RecordMembers{scope_.service(), std::move(changed), primaryAddress}});
}

std::string MemberLog::addressOf(const std::string &endpoint) const
{
    if (endpoint.empty()) {
        return recorded_.primaryAddress;
    }
    if (const auto *const known = scope_.find(endpoint)) {
        return known->record.address;
    }
    for (const auto &[address, id] : recorded_.endpoints) {
        if (id == endpoint) {
            return address;
        }
    }
    return {};
}

std::size_t MemberLog::replicaCount(const std::string &replaced) const
{
    std::set<std::string> addresses;
    for (const auto &[address, id] : recorded_.endpoints) {
        addresses.insert(address);
    }
    for (const auto *const member : scope_.members()) {
        addresses.insert(member->record.address);
    }
    addresses.erase(addressOf(replaced));
    return addresses.size();
}

std::string MemberLog::recordedPrimary() const
{
    for (const auto *const member : scope_.members()) {
        if (member->record.address == recorded_.primaryAddress) {
            return member->record.id;
        }
    }
    return {};
}

} // namespace hyssoprock::internal
