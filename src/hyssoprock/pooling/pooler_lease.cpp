#include <algorithm>

#include <hyssoprock/core/earlier.hpp>
#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

// Time for the answers to writes and commits at a withdrawn primary. The promotion waits for them.
constexpr Duration withdrawalGracePeriod = std::chrono::milliseconds{200};

} // namespace

bool Pooler::Impl::hasLease() const noexcept
{
    return now_ < leaseUntil_;
}

LeasedUse Pooler::Impl::leasedUseOf(const Service &service) const noexcept
{
    if (settings_.leasedPrimaries) {
        return LeasedUse::All;
    }
    return service.synchronousReplicas > 0 ? LeasedUse::Writes : LeasedUse::None;
}

bool Pooler::Impl::needsLease(const CallerSession &session) const
{
    const auto &request = *session.request;
    switch (request.service->leasedUse) {
    case LeasedUse::None:
        return false;
    case LeasedUse::Writes:
        return session.transaction ? !session.transaction->readOnly : request.writes;
    case LeasedUse::All:
        return true;
    }
    return true;
}

std::optional<Instant> Pooler::Impl::nextLeaseDeadline() const
{
    std::optional<Instant> next;
    if (leaseUntil_ != Instant{} && !leaseEnded_) {
        next = leaseUntil_;
    }
    for (const auto &[service, withdrawal] : withdrawals_) {
        next = earlier(next, withdrawal.deadline);
    }
    return next;
}

void Pooler::Impl::on(pooler::LeaseExtended &event)
{
    if (now_ >= leaseUntil_) {
        leaseHeldSince_ = now_;
    }
    leaseUntil_ = std::max(leaseUntil_, event.until);
    if (now_ >= leaseUntil_) {
        return;
    }
    leaseEnded_ = false;
    for (auto &[name, service] : services_) {
        placeWaiting(service);
    }
}

void Pooler::Impl::endLeaseIfDue()
{
    if (leaseUntil_ == Instant{} || leaseEnded_ || hasLease()) {
        return;
    }
    // Another endpoint may be primary from now on, so no write that a former primary answers
    // counts any more.
    leaseEnded_ = true;
    log([]() { return std::string{"[route] the lease on the primaries has ended"}; });
    for (auto &[name, service] : services_) {
        stopUsing(service.primary, service.leasedUse, true);
    }
    for (auto &[name, service] : services_) {
        placeWaiting(service);
    }
}

std::vector<ConnectionId> Pooler::Impl::connectionsTo(const std::string &endpoint) const
{
    // An endpoint that is no longer listed may still have connections in use.
    std::vector<ConnectionId> found;
    for (const auto &[id, known] : connections_) {
        if (known.endpoint == endpoint) {
            found.push_back(id);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

bool Pooler::Impl::usesLease(const CallerSession &owner, ConnectionId id, LeasedUse leasedUse)
{
    const auto running = owner.request && owner.request->connection == id;
    const auto inTransaction = owner.transaction && owner.transaction->connection == id;
    switch (leasedUse) {
    case LeasedUse::None:
        return false;
    case LeasedUse::Writes:
        return owner.transaction ? !owner.transaction->readOnly : running && owner.request->writes;
    case LeasedUse::All:
        return (inTransaction && owner.transaction->readWrite)
               || (running && (owner.request->writes || owner.request->readWriteBegin));
    }
    return true;
}

void Pooler::Impl::stopUsing(const std::string &formerPrimary, LeasedUse leasedUse,
                             bool includeUndecided)
{
    if (formerPrimary.empty() || leasedUse == LeasedUse::None) {
        return;
    }
    for (const auto id : connectionsTo(formerPrimary)) {
        const auto *used = connection(id);
        const auto *owner = used == nullptr ? nullptr : session(used->owner);
        if (owner == nullptr) {
            continue;
        }
        const auto running = owner->request && owner->request->connection == id;
        const auto inTransaction = owner->transaction && owner->transaction->connection == id;
        const auto undecided = running && owner->request->phase == RequestPhase::Running
                               && (owner->request->statement.kind == StatementKind::Commit
                                   || (owner->request->writes && !inTransaction));
        if (usesLease(*owner, id, leasedUse) && (includeUndecided || !undecided)) {
            drop(id);
        }
    }
}

bool Pooler::Impl::hasUndecidedWork(const std::string &formerPrimary, LeasedUse leasedUse)
{
    const auto connections = connectionsTo(formerPrimary);
    return std::any_of(connections.begin(), connections.end(), [&](ConnectionId id) {
        const auto *used = connection(id);
        const auto *owner = used == nullptr ? nullptr : session(used->owner);
        return owner != nullptr && owner->request && owner->request->connection == id
               && usesLease(*owner, id, leasedUse)
               && (owner->request->statement.kind == StatementKind::Commit
                   || owner->request->writes);
    });
}

void Pooler::Impl::endUseOf(const std::string &formerPrimary, const std::string &name,
                            const PooledService &service)
{
    stopUsing(formerPrimary, service.leasedUse, !service.primary.empty());
    if (service.primary.empty()) {
        auto &withdrawal = withdrawals_[name];
        withdrawal.epoch = service.epoch;
        if (!formerPrimary.empty()) {
            withdrawal.endpoint = formerPrimary;
            withdrawal.deadline = now_ + withdrawalGracePeriod;
        }
    } else {
        withdrawals_.erase(name);
    }
}

void Pooler::Impl::finishWithdrawals()
{
    for (auto entry = withdrawals_.begin(); entry != withdrawals_.end();) {
        const auto &[name, withdrawal] = *entry;
        const auto leasedUse = services_.at(name).leasedUse;
        if (now_ >= withdrawal.deadline) {
            stopUsing(withdrawal.endpoint, leasedUse, true);
        }
        if (hasUndecidedWork(withdrawal.endpoint, leasedUse)) {
            ++entry;
            continue;
        }
        actions_.emplace_back(pooler::PrimaryReleased{name, withdrawal.epoch});
        entry = withdrawals_.erase(entry);
    }
}

} // namespace hyssoprock
