#pragma once

#include <string>
#include <vector>

#include <hyssoprock/promotion/operation_round.hpp>
#include <hyssoprock/promotion/promotion_candidates.hpp>
#include <hyssoprock/promotion/selection_state.hpp>
#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Selection of a promotion target for asynchronous replication.

namespace hyssoprock::internal {

/// @brief Queries the candidates and selects the one with the highest log position.
class AsynchronousTargetSelector
{
public:
    /// @brief Creates an idle selector.
    /// @param scope Service to select a target for.
    /// @param round Sends the queries; must not be used by another component during a selection.
    /// @param candidates Eligible targets.
    AsynchronousTargetSelector(ServiceScope &scope, OperationRound &round,
                               const PromotionCandidates &candidates)
        : scope_{scope}
        , round_{round}
        , candidates_{candidates}
    {}

    /// @brief Starts a selection.
    /// @param reason Reason for the promotion, written to the log.
    /// @param replaced Primary to replace; null if there is none.
    /// @param planned Whether that primary is still running, so that the target should first reach
    /// its position.
    /// @param now Current time.
    SelectionState begin(const std::string &reason, const KnownEndpoint *replaced, bool planned,
                         Instant now);
    /// @brief Continues a selection that is waiting for answers.
    SelectionState advance(Instant now);

    [[nodiscard]] const std::string &target() const noexcept { return target_; }
    /// @brief When the pending queries time out.
    [[nodiscard]] Instant stepDeadline() const noexcept { return stepDeadline_; }

private:
    SelectionState startRound(const std::vector<const KnownEndpoint *> &endpoints, Instant now);
    [[nodiscard]] bool isPositionReached() const;

    ServiceScope &scope_;
    OperationRound &round_;
    const PromotionCandidates &candidates_;
    std::string replaced_{};
    std::string target_{};
    bool planned_ = false;
    int rounds_ = 0;
    Instant stepDeadline_{};
};

} // namespace hyssoprock::internal
