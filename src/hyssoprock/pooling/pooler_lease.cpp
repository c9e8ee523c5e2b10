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
    return !settings_.leasedPrimaries || now_ < leaseUntil_;
}

std::optional<Instant> Pooler::Impl::nextLeaseDeadline() const
{
    std::optional<Instant> next;
    if (settings_.leasedPrimaries && leaseUntil_ != Instant{} && !leaseEnded_) {
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
    // Another endpoint may be primary from now on, so nothing that the former primaries answer
    // counts any more.
    leaseEnded_ = true;
    log([]() { return std::string{"[route] the lease on the primaries has ended"}; });
    for (auto &[name, service] : services_) {
        stopUsing(service.primary, true);
    }
    for (auto &[name, service] : services_) {
        placeWaiting(service);
    }
}

void Pooler::Impl::stopUsing(const std::string &formerPrimary, bool includeUndecided)
{
    const auto *endpoint = find(formerPrimary);
    if (endpoint == nullptr) {
        return;
    }
    const auto affected = endpoint->connections;
    for (const auto id : affected) {
        const auto *used = connection(id);
        const auto *owner = used == nullptr ? nullptr : session(used->owner);
        if (owner == nullptr) {
            continue;
        }
        const auto running = owner->request && owner->request->connection == id;
        const auto inTransaction = owner->transaction && owner->transaction->connection == id;
        const auto usesPrimary =
            (inTransaction && owner->transaction->readWrite)
            || (running && (owner->request->writes || owner->request->readWriteBegin));
        const auto undecided = running && owner->request->phase == RequestPhase::Running
                               && (owner->request->statement.kind == StatementKind::Commit
                                   || (owner->request->writes && !inTransaction));
        if (usesPrimary && (includeUndecided || !undecided)) {
            drop(id);
        }
    }
}

bool Pooler::Impl::hasUndecidedWork(const std::string &formerPrimary)
{
    const auto *endpoint = find(formerPrimary);
    return endpoint != nullptr
           && std::any_of(
               endpoint->connections.begin(), endpoint->connections.end(), [this](ConnectionId id) {
                   const auto *used = connection(id);
                   const auto *owner = used == nullptr ? nullptr : session(used->owner);
                   return owner != nullptr && owner->request && owner->request->connection == id
                          && (owner->request->statement.kind == StatementKind::Commit
                              || owner->request->writes);
               });
}

void Pooler::Impl::endUseOf(const std::string &formerPrimary, const std::string &name,
                            const PooledService &service)
{
    stopUsing(formerPrimary, !service.primary.empty());
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
        if (now_ >= withdrawal.deadline) {
            stopUsing(withdrawal.endpoint, true);
        }
        if (hasUndecidedWork(withdrawal.endpoint)) {
            ++entry;
            continue;
        }
        actions_.emplace_back(pooler::PrimaryReleased{name, withdrawal.epoch});
        entry = withdrawals_.erase(entry);
    }
}

} // namespace hyssoprock
