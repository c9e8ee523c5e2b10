#include <hyssoprock/failover/host_lease_table.hpp>

#include <algorithm>
#include <limits>
#include <utility>

#include <hyssoprock/core/name_digest.hpp>

namespace hyssoprock {

namespace {

/// A host stays in the status answer for this many lease lengths after its lease has ended.
constexpr int forgottenAfterLeases = 40;

} // namespace

HostLeaseTable::HostLeaseTable(Duration lease, std::uint64_t driftPerMille) noexcept
    : lease_{lease}
    , driftPerMille_{driftPerMille}
{}

Duration HostLeaseTable::hold() const noexcept
{
    return lengthenedByDrift(lease_, driftPerMille_);
}

void HostLeaseTable::reset(Instant now)
{
    hosts_.clear();
    validIsCurrent_ = false;
    quietUntil_ = now + hold();
}

bool HostLeaseTable::accepts(const HostRenewRequest &request) const
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
    const bool listed = lease.expiry > now && lease.place.dataCentre == request.dataCentre;
    if (!listed || request.leaving) {
        validIsCurrent_ = false;
    }
    lease.place = {request.host, request.dataCentre};
    lease.incarnation = request.incarnation;
    lease.sequence = request.sequence;
    lease.configRevision = request.configRevision;
    lease.quiesced = {request.quiesced.begin(), request.quiesced.end()};
    lease.drained = {request.drained.begin(), request.drained.end()};
    if (request.leaving) {
        // The host has ended its lease itself, so nothing needs to wait for it.
        lease.expiry = now;
        lease.confirmedView = std::numeric_limits<std::uint64_t>::max();
        return;
    }
    lease.confirmedView = request.viewVersion;
    lease.expiry = std::max(lease.expiry, now + hold());
}

bool HostLeaseTable::listIsCurrent(Instant now)
{
    if (!validIsCurrent_ || now < nextExpiry_) {
        return validIsCurrent_;
    }
    // Renewals since the last look have moved the ends of the leases.
    nextExpiry_ = Instant::max();
    for (const auto &place : valid_.places) {
        nextExpiry_ = std::min(nextExpiry_, hosts_.find(place.host)->second.expiry);
    }
    return now < nextExpiry_;
}

const ValidHosts &HostLeaseTable::validHosts(Instant now)
{
    if (listIsCurrent(now)) {
        return valid_;
    }
    valid_ = {};
    nextExpiry_ = Instant::max();
    for (const auto &[name, lease] : hosts_) {
        if (lease.expiry > now) {
            valid_.places.push_back(lease.place);
            valid_.names.push_back(toString(lease.place));
            nextExpiry_ = std::min(nextExpiry_, lease.expiry);
        }
    }
    std::sort(valid_.names.begin(), valid_.names.end());
    valid_.digest = digestOfNames(valid_.names);
    validIsCurrent_ = true;
    return valid_;
}

bool HostLeaseTable::isValid(std::string_view host, Instant now) const
{
    const auto found = hosts_.find(host);
    return found != hosts_.end() && found->second.expiry > now;
}

bool HostLeaseTable::allReport(std::set<std::string, std::less<>> HostLease::*list,
                               std::string_view name, std::uint64_t version, Instant now) const
{
    if (now < quietUntil_) {
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
        return entry.second.expiry + forgottenAfterLeases * lease_ < now;
    });
    validIsCurrent_ = validIsCurrent_ && forgotten == 0;
}

ViewWait::ViewWait(const HostLeaseTable &leases, std::uint64_t version, Instant now)
    : version_{version}
    , quietUntil_{leases.quietUntil()}
{
    for (const auto &[name, lease] : leases.all()) {
        if (lease.expiry > now && lease.confirmedView < version) {
            open_.emplace(name, lease.expiry);
        }
    }
}

bool ViewWait::done(const HostLeaseTable &leases, Instant now)
{
    quiet_ = quiet_ || now >= quietUntil_;
    std::erase_if(open_, [&](const auto &entry) {
        const auto found = leases.all().find(entry.first);
        return entry.second <= now
               || (found != leases.all().end() && found->second.confirmedView >= version_);
    });
    return quiet_ && open_.empty();
}

std::vector<std::string> ViewWait::waitingFor() const
{
    std::vector<std::string> names;
    if (!quiet_) {
        names.emplace_back("former leases");
    }
    for (const auto &[name, expiry] : open_) {
        names.push_back(name);
    }
    return names;
}

} // namespace hyssoprock
