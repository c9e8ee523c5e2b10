#include <hyssoprock/failover/coordinator.hpp>

#include <utility>

#include <hyssoprock/failover/coordinator_impl.hpp>

namespace hyssoprock {

Coordinator::Coordinator(CoordinatorSettings settings, const Catalog &catalog,
                         BudgetAllocator budgets)
    : impl_{std::make_unique<Impl>(std::move(settings), catalog, std::move(budgets))}
{}

Coordinator::~Coordinator() = default;

CoordinatorActions Coordinator::handle(const CoordinatorEvent &event, Instant now,
                                       bool leaderLeaseValid)
{
    return impl_->handle(event, now, leaderLeaseValid);
}

std::optional<Instant> Coordinator::nextDeadline() const noexcept
{
    return impl_->nextDeadline();
}

bool Coordinator::leading() const noexcept
{
    return impl_->leading();
}

} // namespace hyssoprock
