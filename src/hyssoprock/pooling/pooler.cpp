#include <hyssoprock/pooling/pooler.hpp>

#include <algorithm>

#include <hyssoprock/pooling/pooler_impl.hpp>

namespace hyssoprock {

namespace {

constexpr std::uint64_t retryPercent = 20;

} // namespace

Pooler::Pooler(PoolerSettings settings, std::uint64_t seed, Instant now)
    : impl_{std::make_unique<Impl>(std::move(settings), seed, now)}
{}

Pooler::~Pooler() = default;

PoolerActions Pooler::handle(PoolerEvent event, Instant now)
{
    return impl_->handle(std::move(event), now);
}

std::optional<Instant> Pooler::nextDeadline() const
{
    return impl_->nextDeadline();
}

std::vector<std::string> Pooler::servicesWithoutSample(Instant now) const
{
    return impl_->servicesWithoutSample(now);
}

const std::string &Pooler::teamOf(CallerId caller) const
{
    return impl_->teamOf(caller);
}

bool Pooler::ready() const noexcept
{
    return impl_->ready();
}

Pooler::Impl::Impl(PoolerSettings settings, std::uint64_t seed, Instant now)
    : settings_{std::move(settings)}
    , random_{seed}
    , now_{now}
    , counters_{settings_.countersEnabled ? std::make_unique<PoolerCounters>() : nullptr}
    , retries_{retryPercent}
{}

PoolerActions Pooler::Impl::handle(PoolerEvent event, Instant now)
{
    now_ = now;
    actions_.clear();
    if (counters_) {
        countEvent(event);
    }
    // The end of the lease would answer or repeat the statement of a caller that has left.
    const auto left = std::holds_alternative<pooler::CallerDisconnected>(event);
    if (!left) {
        endLeaseIfDue();
    }
    std::visit([this](auto &known) { on(known); }, event);
    if (left) {
        endLeaseIfDue();
    }
    finishWithdrawals();
    if (counters_) {
        countActions();
    }
    return std::exchange(actions_, {});
}

void Pooler::Impl::on(pooler::DocumentChanged &event)
{
    document_ = std::move(event.document);
    routes_ = RouteIndex{document_};
    teams_ = TeamIndex{document_};
    ++documentNumber_;
    for (const auto &configured : document_->services) {
        auto &service = services_[configured.name];
        const auto former = std::exchange(service.leasedUse, leasedUseOf(configured));
        if (former == LeasedUse::None && service.leasedUse != former && service.epoch != 0
            && service.primary.empty()) {
            endUseOf({}, configured.name, service);
        }
    }
    groupEndpoints();
    endUnauthorizedTransactions();
    updateTeamLimits();
    std::vector<CallerId> waiting;
    for (const auto &[id, known] : sessions_) {
        if (!known.accepted) {
            waiting.push_back(id);
        }
    }
    // Not in the order of the container, which depends on the standard library.
    std::sort(waiting.begin(), waiting.end());
    for (const auto id : waiting) {
        if (auto *arrived = session(id)) {
            admit(*arrived);
        }
    }
}

void Pooler::Impl::on(pooler::PrimaryChanged &event)
{
    auto &service = services_[event.primary.service];
    if (event.primary.epoch < service.epoch) {
        return;
    }
    const auto changed = service.primary != event.primary.endpoint;
    service.epoch = event.primary.epoch;
    if (!changed) {
        if (service.leasedUse != LeasedUse::None && service.primary.empty()) {
            endUseOf({}, event.primary.service, service);
        }
        return;
    }
    const auto former = std::exchange(service.primary, event.primary.endpoint);
    service.announcedAt = now_;
    groupEndpoints();
    log([&]() {
        return "[route] " + event.primary.service + ": the primary is "
               + (service.primary.empty() ? "withdrawn" : service.primary) + ", was "
               + (former.empty() ? "unknown" : former);
    });
    if (service.leasedUse != LeasedUse::None) {
        endUseOf(former, event.primary.service, service);
    }
    if (auto *endpoint = find(service.primary)) {
        endpoint->notPrimaryUntil = now_;
        endpoint->avoidUntil = now_;
    }
    if (auto *endpoint = find(former); endpoint != nullptr && endpoint->lastTimeoutAt
                                       && endpoint->lastTimeoutAt >= endpoint->lastReceivedAt) {
        handleSilence(*endpoint);
    }
    if (auto *endpoint = find(former)) {
        closeIdleIfDraining(*endpoint);
    }
    placeWaiting(service);
}

void Pooler::Impl::on(pooler::EntryHostsChanged &event)
{
    const auto former = std::exchange(entryHosts_, std::max(event.entryHosts, 1U));
    if (former != entryHosts_) {
        groupEndpoints();
    }
}

} // namespace hyssoprock
