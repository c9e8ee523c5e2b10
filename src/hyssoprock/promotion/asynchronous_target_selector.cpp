#include <hyssoprock/promotion/asynchronous_target_selector.hpp>

#include <algorithm>

namespace hyssoprock::internal {

namespace {

/// Queries of a planned promotion while no replica holds the primary's position.
constexpr int plannedRounds = 3;

} // namespace

ChoiceState QueriedChoice::begin(const std::string &reason, const KnownEndpoint *replaced,
                                 bool planned, Instant now)
{
    replaced_ = replaced == nullptr ? std::string{} : replaced->record.id;
    planned_ = planned;
    auto endpoints = candidates_.list(replaced_, now);
    if (endpoints.empty()) {
        scope_.wakeAt(now + candidateInterval);
        return ChoiceState::Failed;
    }
    scope_.log("chooses a primary: " + reason);
    if (endpoints.size() == 1 && !planned_) {
        target_ = endpoints.front()->record.id;
        return ChoiceState::Chosen;
    }
    rounds_ = 1;
    if (planned_ && replaced != nullptr) {
        endpoints.push_back(replaced);
    }
    return query(endpoints, now);
}

ChoiceState QueriedChoice::advance(Instant now)
{
    if (now < stepDeadline_ && !round_.complete()) {
        return ChoiceState::Waiting;
    }
    if (planned_ && rounds_ < plannedRounds && !positionReached()) {
        auto endpoints = candidates_.list(replaced_, now);
        if (const auto *const endpoint = scope_.find(replaced_)) {
            endpoints.push_back(endpoint);
        }
        ++rounds_;
        return query(endpoints, now);
    }
    const auto *const best = candidates_.best(replaced_, round_.rows(), now);
    if (best == nullptr) {
        return ChoiceState::Failed;
    }
    target_ = best->record.id;
    return ChoiceState::Chosen;
}

ChoiceState QueriedChoice::query(const std::vector<const KnownEndpoint *> &endpoints, Instant now)
{
    stepDeadline_ = now + statusTimeout;
    round_.send(endpoints);
    return ChoiceState::Waiting;
}

bool QueriedChoice::positionReached() const
{
    const auto *const primary = round_.row(replaced_);
    const auto &rows = round_.rows();
    return primary == nullptr || std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
               return row.first != replaced_ && row.second.received >= primary->received;
           });
}

} // namespace hyssoprock::internal
