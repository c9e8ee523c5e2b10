#include <hyssoprock/promotion/primary_withdrawal.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

constexpr Duration stepDownRetryInterval = std::chrono::milliseconds{500};

} // namespace

void PrimaryWithdrawalStep::restore(const std::string &target, Instant since)
{
    restoredTarget_ = target;
    restoredSince_ = since;
    isRestored_ = true;
}

void PrimaryWithdrawalStep::begin(std::uint64_t token, const std::string &target,
                                  const std::map<std::string, EndpointStatusRow> &rows, Instant now)
{
    target_ = target;
    for (const auto &[endpoint, row] : rows) {
        recordRow(endpoint, row);
    }
    if (!tracker_.withdrawalEpoch() || isRestored_) {
        if (tracker_.usedPrimary() == target) {
            return;
        }
        steppedDown_.clear();
        if (!isRestored_) {
            restoredSince_.reset();
        }
        // The earlier leader may have announced its target with a higher epoch than that of the
        // restored withdrawal.
        isRestored_ = false;
        tracker_.withdraw(token);
        if (const auto until = usableUntil(now)) {
            const auto holders = scope_.controller().leases.holderCount(
                scope_.service(), *tracker_.withdrawalEpoch(), now);
            scope_.log(std::to_string(holders) + " entry hosts may use the former primary for "
                       + std::to_string(toMilliseconds(*until - now)) + " ms at most");
        }
    }
    orderStepDown(now);
}

std::optional<Instant> PrimaryWithdrawalStep::usableUntil(Instant now) const
{
    const auto epoch = tracker_.withdrawalEpoch();
    if (!epoch) {
        return std::nullopt;
    }
    const auto &leases = scope_.controller().leases;
    const auto formerUse = restoredSince_ && restoredTarget_ == target_
                               ? std::optional{*restoredSince_ + leases.reservationDuration()}
                               : std::nullopt;
    return leases.usableUntil(scope_.service(), *epoch, now, formerUse);
}

void PrimaryWithdrawalStep::orderStepDown(Instant now)
{
    if (scope_.isFenced()) {
        // The promotion deposes the former primary. An order that takes effect late would stop a
        // primary that was used again meanwhile.
        return;
    }
    orderedAt_ = now;
    if (termMax_ == 0) {
        return;
    }
    operationId_ = ++scope_.controller().lastOperationId;
    for (const auto *const member : scope_.members()) {
        const auto &record = member->record;
        if ((record.id == tracker_.usedPrimary() || actsAsFormerPrimary(record.id))
            && !hasSteppedDown(record.id)) {
            scope_.addAction(promotion::SendOperation{operationId_, scope_.service(), record.id,
                                                      record.address, EndpointOperation::StepDown,
                                                      termMax_ + 1});
        }
    }
}

void PrimaryWithdrawalStep::recordRow(const std::string &endpoint, const EndpointStatusRow &row)
{
    termMax_ = std::max({termMax_, row.term, row.received.term});
    if (row.role == EndpointRole::Primary) {
        actingPrimaries_[endpoint] = row.term;
    } else {
        actingPrimaries_.erase(endpoint);
    }
}

bool PrimaryWithdrawalStep::hasSteppedDown(const std::string &endpoint) const
{
    const auto found = steppedDown_.find(endpoint);
    const auto *const known = scope_.find(endpoint);
    return found != steppedDown_.end()
           && (known == nullptr || known->record.bornMs == found->second);
}

bool PrimaryWithdrawalStep::actsAsFormerPrimary(const std::string &endpoint) const
{
    const auto found = actingPrimaries_.find(endpoint);
    return found != actingPrimaries_.end() && found->second < termMax_;
}

void PrimaryWithdrawalStep::handlePromotion()
{
    if (termMax_ != 0) {
        ++termMax_;
    }
}

void PrimaryWithdrawalStep::handle(const promotion::OperationCompleted &event)
{
    if (event.operationId != operationId_ || operationId_ == 0 || !event.row) {
        return;
    }
    recordRow(event.endpoint, *event.row);
    if (event.row->role == EndpointRole::Replica) {
        const auto *const known = scope_.find(event.endpoint);
        steppedDown_[event.endpoint] = known == nullptr ? 0 : known->record.bornMs;
        scope_.log(event.endpoint + " has stepped down");
    }
}

void PrimaryWithdrawalStep::handleCall(const std::string &target)
{
    steppedDown_.erase(target);
}

bool PrimaryWithdrawalStep::isComplete(const std::string &target, Instant now) const
{
    const auto &former = tracker_.usedPrimary();
    if (former == target) {
        return true;
    }
    if (!scope_.isFenced() && actsAsFormerPrimary(target) && !hasSteppedDown(target)) {
        // It acts as the primary of an older term, and would accept writes once it is announced.
        return false;
    }
    if (scope_.synchronousReplicas() == 0 && !former.empty() && hasSteppedDown(former)) {
        // With synchronous replicas this is no proof: a former primary that restarts before the
        // promotion acts as primary again.
        return true;
    }
    return tracker_.withdrawalEpoch() && !usableUntil(now);
}

void PrimaryWithdrawalStep::evaluate(Instant now)
{
    if (!tracker_.withdrawalEpoch()) {
        return;
    }
    if (const auto until = usableUntil(now)) {
        scope_.evaluateBy(*until);
    }
    if (orderedAt_ && now >= *orderedAt_ + stepDownRetryInterval) {
        orderStepDown(now);
    }
    if (orderedAt_) {
        scope_.evaluateBy(*orderedAt_ + stepDownRetryInterval);
    }
}

} // namespace hyssoprock::internal
