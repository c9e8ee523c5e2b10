#pragma once

#include <string>
#include <vector>

#include <hyssoprock/promotion/operation_round.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/selection_state.hpp>
#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Choice of a target where replicas are not synchronous.

namespace hyssoprock::internal {

/// @brief Queries the candidates and chooses the one with the highest position.
class QueriedChoice
{
public:
    /// @brief Nothing is queried.
    /// @param scope Service.
    /// @param round For the queries; no other part uses it during an attempt.
    /// @param candidates Possible targets.
    QueriedChoice(ServiceScope &scope, StatusRound &round, const PromotionCandidates &candidates)
        : scope_{scope}
        , round_{round}
        , candidates_{candidates}
    {}

    /// @brief Begins an attempt.
    /// @param reason For the log.
    /// @param replaced Primary that is to be replaced; null if there is none.
    /// @param planned Whether that primary still serves, so that its position should be responded.
    /// @param now Present time.
    ChoiceState begin(const std::string &reason, const KnownEndpoint *replaced, bool planned,
                      Instant now);
    /// @brief Carries on with an attempt that waits.
    ChoiceState advance(Instant now);

    [[nodiscard]] const std::string &target() const noexcept { return target_; }
    /// @brief Until when the queries under way may be answered.
    [[nodiscard]] Instant stepDeadline() const noexcept { return stepDeadline_; }

private:
    ChoiceState query(const std::vector<const KnownEndpoint *> &endpoints, Instant now);
    [[nodiscard]] bool positionReached() const;

    ServiceScope &scope_;
    StatusRound &round_;
    const PromotionCandidates &candidates_;
    std::string replaced_{};
    std::string target_{};
    bool planned_ = false;
    int rounds_ = 0;
    Instant stepDeadline_{};
};

} // namespace hyssoprock::internal
