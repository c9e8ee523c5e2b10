#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Order, platform calls and settlement of one promotion.

namespace hyssoprock::internal {

/// @brief Effect of a completed call on the promotion in progress.
enum class CallEffect : std::uint8_t {
    None, ///< The call belongs to another promotion.
    Promoted,
    Refused,
    Retry, ///< Not answered, or not executed.
};

/// @brief Tracks the order and its token, calls that may still be executed, and the settlement.
class PromotionOrder
{
public:
    explicit PromotionOrder(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Restores an unsettled order of an earlier leader, whose call may still be executed.
    void restore(const PromotionRecord &record, Instant now);
    /// @brief Starts a new promotion. Answers to earlier calls do not count for it.
    void beginPromotion() noexcept;
    /// @brief Proposes an order, which gets a new token.
    /// @param target Identifier of the target.
    /// @param replaced Primary that the target replaces; empty if unknown.
    /// @param term Lowest term of the target as primary; 0 if unknown.
    /// @param start Start of the target's term; its term is 0 if unknown.
    void propose(const std::string &target, const std::string &replaced, std::uint64_t term,
                 const TermStart &start);
    [[nodiscard]] bool isAwaiting(const promotion::OrderProposalCompleted &event) const noexcept
    {
        return event.proposalId == proposalId_;
    }
    /// @brief Records the token of the committed order.
    void handleCommit(std::uint64_t token);
    /// @brief Sends a promotion call to the platform.
    void sendCall(Instant now);
    /// @brief Processes the completion of a call of this or an earlier promotion.
    /// @param event Completed call.
    /// @param calling Whether the promotion in progress is waiting for its call.
    /// @param now Current time.
    [[nodiscard]] CallEffect handle(const promotion::CallCompleted &event, bool calling,
                                    Instant now);
    /// @brief Records that an earlier call for the target was accepted while the next order is
    /// being committed.
    void recordEarlyAcceptance() noexcept { acceptedEarly_ = true; }
    [[nodiscard]] bool wasAcceptedEarly() const noexcept { return acceptedEarly_; }
    /// @brief Ends the promotion.
    void finish();
    /// @brief Settles the newest order as promoted. Without fencing this waits until no earlier
    /// call can be executed any more, because a later leader has to know of them until then.
    void settle(Instant now);
    /// @brief Settles the newest order as not promoted as soon as none of its calls can be executed
    /// any more. Until then a later leader has to know of them.
    void abandon(Instant now);
    void handle(const promotion::SettlementProposalCompleted &event, Instant now);
    /// @brief Sends the settlement proposal that is due.
    void evaluate(Instant now);

    [[nodiscard]] const std::string &target() const noexcept { return target_; }
    [[nodiscard]] std::uint64_t token() const noexcept { return token_; }
    /// @brief Whether an order of the promotion in progress is committed.
    [[nodiscard]] bool hasToken() const noexcept { return firstToken_ != 0; }
    /// @brief Primary that the target replaces; empty if unknown.
    [[nodiscard]] const std::string &replaced() const noexcept { return replaced_; }
    /// @brief Lowest term of the target as primary; 0 if unknown.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// @brief Whether a settlement is not committed yet.
    [[nodiscard]] bool isSettlementPending() const noexcept
    {
        return abandoned_ || accepted_ || pendingSettlement_.has_value();
    }
    [[nodiscard]] std::optional<Instant> settlementRetryAt() const noexcept
    {
        return settlementRetryAt_;
    }
    /// @brief Whether there are recorded calls that may still be executed. Includes expired ones.
    [[nodiscard]] bool hasOpenCalls() const noexcept { return !openCalls_.empty(); }
    /// @brief Removes expired calls and returns until when the remaining ones may be executed.
    [[nodiscard]] std::optional<Instant> callsExpireAt(Instant now);
    /// @brief Until when calls for other targets may be executed, as no token prevents it without
    /// fencing.
    /// @return std::nullopt if a call for the target cannot be followed by one for another target.
    [[nodiscard]] std::optional<Instant> conflictsUntil(const std::string &target,
                                                        Instant now) const;
    /// @brief Target of an unanswered call; empty if there is none.
    [[nodiscard]] std::string openTarget(Instant now) const;

private:
    /// @brief Call that may still be executed.
    struct OpenCall
    {
        std::string target;
        Instant expiresAt{};
        bool answered = false; ///< Accepted, and about to be executed.
    };

    [[nodiscard]] std::optional<Instant> unansweredUntil(Instant now) const;

    void proposeSettlement(bool promoted);

    ServiceScope &scope_;
    std::string target_{};
    std::string replaced_{};
    std::uint64_t term_ = 0;
    std::uint64_t proposalId_ = 0;
    std::uint64_t token_ = 0;
    std::uint64_t firstToken_ = 0; ///< First token of the promotion in progress; 0 if none.
    bool acceptedEarly_ = false;
    bool abandoned_ = false; ///< The order is to be settled as not promoted.
    bool accepted_ = false;  ///< The order is to be settled as promoted.
    std::optional<SettlePromotion> pendingSettlement_{};
    std::optional<Instant> settlementRetryAt_{};
    std::map<std::uint64_t, OpenCall> openCalls_{}; ///< By token.
};

} // namespace hyssoprock::internal
