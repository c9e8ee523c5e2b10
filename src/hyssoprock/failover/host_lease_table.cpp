#include <hyssoprock/failover/host_lease_table.hpp>

#include <algorithm>
#include <limits>

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

std::vector<HostPlace> HostLeaseTable::validHosts(Instant now) const
{
    std::vector<HostPlace> places;
    for (const auto &[name, lease] : hosts_) {
        if (lease.expiry > now) {
            places.push_back(lease.place);
        }
    }
    return places;
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
    std::erase_if(hosts_, [&](const auto &entry) {
        return entry.second.expiry + forgottenAfterLeases * lease_ < now;
    });
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
