#include <hyssoprock/leasing/host_lease_grantor.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

/// Ended incarnations that are remembered of each host, so that a delayed request of one is
/// recognised.
constexpr std::size_t endedIncarnationsMax = 64;

} // namespace

HostLeaseGrantor::HostLeaseGrantor(Duration leaseDuration) noexcept
    : leaseDuration_{leaseDuration}
{}

void HostLeaseGrantor::beginLeadership(Instant now)
{
    leases_.clear();
    formerLeasesEndAt_ = now + reservationDuration();
}

std::optional<HostLeaseGrant> HostLeaseGrantor::renew(std::string_view host,
                                                      const HostLeaseRequest &request, Instant now)
{
    auto found = leases_.find(host);
    if (found == leases_.end()) {
        found = leases_.emplace(std::string{host}, Lease{}).first;
        found->second.incarnation = request.incarnation;
    }
    auto &lease = found->second;
    if (lease.ended.contains(request.incarnation)) {
        return std::nullopt;
    }
    if (lease.incarnation != request.incarnation) {
        auto ended = std::move(lease.ended);
        if (ended.size() >= endedIncarnationsMax) {
            ended.erase(ended.begin());
        }
        ended.insert(lease.incarnation);
        lease = Lease{request.incarnation, 0, {}, {}, std::move(ended)};
    }
    if (request.sequence <= lease.sequence) {
        return std::nullopt;
    }
    lease.sequence = request.sequence;
    lease.released.clear();
    for (const auto &release : request.released) {
        lease.released[release.service] = release.epoch;
    }
    if (request.leaving) {
        lease.expiry = now;
        return std::nullopt;
    }
    lease.expiry = now + reservationDuration();
    return HostLeaseGrant{request.incarnation, request.sequence, leaseDuration_.count()};
}

bool HostLeaseGrantor::mayUse(const Lease &lease, const std::string &service, std::uint64_t epoch,
                              Instant now)
{
    const auto released = lease.released.find(service);
    return lease.expiry > now && (released == lease.released.end() || released->second < epoch);
}

Duration HostLeaseGrantor::reservationDuration() const noexcept
{
    return lengthenedByDrift(leaseDuration_, driftPerMille);
}

std::optional<Instant> HostLeaseGrantor::usableUntil(const std::string &service,
                                                     std::uint64_t epoch, Instant now,
                                                     std::optional<Instant> formerUse) const
{
    auto until = std::min(formerLeasesEndAt_, formerUse.value_or(formerLeasesEndAt_));
    for (const auto &[host, lease] : leases_) {
        if (mayUse(lease, service, epoch, now)) {
            until = std::max(until, lease.expiry);
        }
    }
    return until > now ? std::optional{until} : std::nullopt;
}

std::size_t HostLeaseGrantor::holderCount(const std::string &service, std::uint64_t epoch,
                                          Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(), [&](const auto &entry) {
            return mayUse(entry.second, service, epoch, now);
        }));
}

} // namespace hyssoprock
