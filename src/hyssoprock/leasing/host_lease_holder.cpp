#include <hyssoprock/leasing/host_lease_holder.hpp>

#include <algorithm>

#include <hyssoprock/leasing/host_lease_grantor.hpp>

namespace hyssoprock {

namespace {

/// Renewals in the duration of a lease; a lease survives the loss of several of them.
constexpr int renewalsPerLease = 8;
/// After this time without an answer all control hosts are asked.
constexpr Duration answerTimeout = std::chrono::milliseconds{300};

} // namespace

HostLeaseHolder::HostLeaseHolder(std::uint64_t incarnation, Duration leaseDuration)
    : incarnation_{incarnation}
    , renewalInterval_{leaseDuration / renewalsPerLease}
{}

bool HostLeaseHolder::isDue(Instant now) const
{
    if (left_) {
        return false;
    }
    if (urgent_ || leaving_ || !requestedAt_) {
        return true;
    }
    const auto answered = grantedAt_ && *grantedAt_ >= *requestedAt_;
    return now >= *requestedAt_ + (answered ? renewalInterval_ : answerTimeout);
}

std::optional<AddressedLeaseRequest> HostLeaseHolder::nextRequest(Instant now)
{
    if (!isDue(now)) {
        return std::nullopt;
    }
    const auto answered = grantedAt_ && requestedAt_ && *grantedAt_ >= *requestedAt_;
    AddressedLeaseRequest result;
    result.controlHost = answered && !leaving_ ? grantor_ : std::string{};
    result.request.incarnation = incarnation_;
    result.request.sequence = ++sequence_;
    result.request.leaving = leaving_;
    for (const auto &[service, epoch] : released_) {
        result.request.released.push_back({service, epoch});
    }
    left_ = leaving_;
    urgent_ = false;
    requestedAt_ = now;
    if (!leaving_) {
        sentAt_[sequence_] = now;
    }
    std::erase_if(sentAt_, [&](const auto &sent) {
        return sent.second + renewalsPerLease * renewalInterval_ < now;
    });
    return result;
}

std::optional<Instant> HostLeaseHolder::handleGrant(std::string_view controlHost,
                                                    const HostLeaseGrant &grant, Instant now)
{
    const auto sent = sentAt_.find(grant.sequence);
    if (grant.incarnation != incarnation_ || sent == sentAt_.end() || leaving_) {
        return std::nullopt;
    }
    const auto until =
        sent->second
        + shortenedByDrift(Duration{grant.durationUs}, HostLeaseGrantor::driftPerMille);
    sentAt_.erase(sentAt_.begin(), std::next(sent));
    grantor_ = controlHost;
    grantedAt_ = now;
    if (until <= validUntil_) {
        return std::nullopt;
    }
    validUntil_ = until;
    return validUntil_;
}

void HostLeaseHolder::handleDisconnect(std::string_view controlHost)
{
    if (controlHost == grantor_) {
        grantor_.clear();
        grantedAt_.reset();
    }
}

void HostLeaseHolder::release(const PrimaryRelease &release)
{
    auto &epoch = released_[release.service];
    epoch = std::max(epoch, release.epoch);
    urgent_ = true;
}

void HostLeaseHolder::leave()
{
    leaving_ = true;
    validUntil_ = Instant{};
}

} // namespace hyssoprock
