#include <hyssoprock/promotion/asynchronous_target_selector.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

/// Maximum number of query rounds of a planned promotion while no replica has reached the position
/// of the primary.
constexpr int plannedQueryRoundsMax = 3;

} // namespace

SelectionState AsynchronousTargetSelector::begin(const std::string &reason,
                                                 const KnownEndpoint *replaced, bool planned,
                                                 Instant now)
{
    replaced_ = replaced == nullptr ? std::string{} : replaced->record.id;
    planned_ = planned;
    rounds_ = 0;
    auto endpoints = candidates_.list(replaced_, now);
    if (endpoints.empty()) {
        scope_.evaluateBy(now + candidateRetryDelay);
        return SelectionState::Failed;
    }
    scope_.log("chooses a primary: " + reason);
    rounds_ = 1;
    if (planned_ && replaced != nullptr) {
        endpoints.push_back(replaced);
    }
    return startRound(endpoints, now);
}

SelectionState AsynchronousTargetSelector::advance(Instant now)
{
    if (now < stepDeadline_ && !round_.isComplete()) {
        return SelectionState::Waiting;
    }
    if (planned_ && rounds_ < plannedQueryRoundsMax && !isPositionReached()) {
        auto endpoints = candidates_.list(replaced_, now);
        if (const auto *const endpoint = scope_.find(replaced_)) {
            endpoints.push_back(endpoint);
        }
        ++rounds_;
        return startRound(endpoints, now);
    }
    const auto *const mostAdvanced = candidates_.mostAdvanced(replaced_, round_.rows(), now);
    if (mostAdvanced == nullptr) {
        return SelectionState::Failed;
    }
    target_ = mostAdvanced->record.id;
    if (const auto *const row = round_.row(target_);
        row != nullptr && candidates_.holdsGivenUpEntries(*row)) {
        scope_.log("no other candidate than " + target_
                   + ", which holds commits that a promotion has given up");
    }
    return SelectionState::Chosen;
}

SelectionState
AsynchronousTargetSelector::startRound(const std::vector<const KnownEndpoint *> &endpoints,
                                       Instant now)
{
    stepDeadline_ = now + statusTimeout;
    round_.send(endpoints);
    return SelectionState::Waiting;
}

bool AsynchronousTargetSelector::isPositionReached() const
{
    const auto *const primary = round_.row(replaced_);
    const auto &rows = round_.rows();
    return primary == nullptr || std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
               return row.first != replaced_ && row.second.received >= primary->received;
           });
}

} // namespace hyssoprock::internal
