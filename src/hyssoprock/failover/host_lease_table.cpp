#include <hyssoprock/failover/host_lease_table.hpp>

#include <algorithm>
#include <limits>
#include <utility>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

/// Number of lease durations for which a host stays in status responses after its lease has ended.
constexpr int forgetAfterLeaseCount = 40;

} // namespace

HostLeaseTable::HostLeaseTable(Duration lease, std::uint64_t driftPerMille) noexcept
    : leaseDuration_{lease}
    , driftPerMille_{driftPerMille}
{}

Duration HostLeaseTable::reservationDuration() const noexcept
{
    return lengthenedByDrift(leaseDuration_, driftPerMille_);
}

void HostLeaseTable::reset(Instant now)
{
    hosts_.clear();
    validHostsCurrent_ = false;
    formerLeasesEndAt_ = now + reservationDuration();
}

bool HostLeaseTable::isNewer(const HostRenewRequest &request) const
{
    const auto found = hosts_.find(request.host);
    if (found == hosts_.end()) {
        return true;
    }
    const auto &known = found->second;
    return request.incarnation > known.incarnation
           || (request.incarnation == known.incarnation && request.sequence > known.sequence);
}

void HostLeaseTable::renew(const HostRenewRequest &request, Instant now)
{
    auto &lease = hosts_[request.host];
    const bool listed = lease.expiry > now && lease.location.dataCentre == request.dataCentre;
    if (!listed || request.leaving) {
        validHostsCurrent_ = false;
    }
    lease.location = {request.host, request.dataCentre};
    lease.incarnation = request.incarnation;
    lease.sequence = request.sequence;
    lease.configRevision = request.configRevision;
    lease.quiesced = {request.quiesced.begin(), request.quiesced.end()};
    lease.drained = {request.drained.begin(), request.drained.end()};
    if (request.leaving) {
        // The host has ended its lease itself, so nothing has to wait for its expiry.
        lease.expiry = now;
        lease.confirmedView = std::numeric_limits<std::uint64_t>::max();
        return;
    }
    lease.confirmedView = request.viewVersion;
    lease.expiry = std::max(lease.expiry, now + reservationDuration());
}

bool HostLeaseTable::isValidHostsCurrent(Instant now)
{
    if (!validHostsCurrent_ || now < nextExpiry_) {
        return validHostsCurrent_;
    }
    // Renewals since the last call have extended the leases.
    nextExpiry_ = Instant::max();
    for (const auto &location : validHosts_.locations) {
        nextExpiry_ = std::min(nextExpiry_, hosts_.find(location.host)->second.expiry);
    }
    return now < nextExpiry_;
}

const ValidHosts &HostLeaseTable::validHosts(Instant now)
{
    if (isValidHostsCurrent(now)) {
        return validHosts_;
    }
    validHosts_ = {};
    nextExpiry_ = Instant::max();
    for (const auto &[name, lease] : hosts_) {
        if (lease.expiry > now) {
            validHosts_.locations.push_back(lease.location);
            validHosts_.names.push_back(toString(lease.location));
            nextExpiry_ = std::min(nextExpiry_, lease.expiry);
        }
    }
    std::sort(validHosts_.names.begin(), validHosts_.names.end());
    validHosts_.digest = computeNameDigest(validHosts_.names);
    validHostsCurrent_ = true;
    return validHosts_;
}

bool HostLeaseTable::isValid(std::string_view host, Instant now) const
{
    const auto found = hosts_.find(host);
    return found != hosts_.end() && found->second.expiry > now;
}

bool HostLeaseTable::allHostsReport(std::set<std::string, std::less<>> HostLease::*list,
                                    std::string_view name, std::uint64_t version, Instant now) const
{
    if (now < formerLeasesEndAt_) {
        return false;
    }
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto &entry) {
        const HostLease &lease = entry.second;
        return lease.expiry <= now
               || (lease.confirmedView >= version && (lease.*list).contains(name));
    });
}

void HostLeaseTable::prune(Instant now)
{
    const auto forgotten = std::erase_if(hosts_, [&](const auto &entry) {
        return entry.second.expiry + forgetAfterLeaseCount * leaseDuration_ < now;
    });
    validHostsCurrent_ = validHostsCurrent_ && forgotten == 0;
}

ViewBarrier::ViewBarrier(const HostLeaseTable &leases, std::uint64_t version, Instant now)
    : version_{version}
    , formerLeasesEndAt_{leases.formerLeasesEndAt()}
{
    for (const auto &[name, lease] : leases.all()) {
        if (lease.expiry > now && lease.confirmedView < version) {
            pending_.emplace(name, lease.expiry);
        }
    }
}

bool ViewBarrier::done(const HostLeaseTable &leases, Instant now)
{
    formerLeasesEnded_ = formerLeasesEnded_ || now >= formerLeasesEndAt_;
    std::erase_if(pending_, [&](const auto &entry) {
        const auto found = leases.all().find(entry.first);
        return entry.second <= now
               || (found != leases.all().end() && found->second.confirmedView >= version_);
    });
    return formerLeasesEnded_ && pending_.empty();
}

std::vector<std::string> ViewBarrier::waitingFor() const
{
    std::vector<std::string> names;
    if (!formerLeasesEnded_) {
        names.emplace_back("former leases");
    }
    for (const auto &[name, expiry] : pending_) {
        names.push_back(name);
    }
    return names;
}

} // namespace hyssoprock
