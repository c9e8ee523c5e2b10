#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Order, call and settlement of one promotion.

namespace hyssoprock::internal {

/// @brief What the end of a call means for the promotion in progress.
enum class CallEffect : std::uint8_t {
    None, ///< It belongs to another promotion.
    Promoted,
    Refused,
    Retry, ///< Not answered, or not executed now.
};

/// @brief Order with its token, the calls that may yet be executed, and the settlement.
class PromotionOrder
{
public:
    explicit PromotionOrder(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Takes an unsettled order of an earlier leader, whose call may still be executed.
    void restore(const PromotionRecord &record, Instant now);
    /// @brief Begins another promotion; answers to earlier calls do not count for it.
    void begin() noexcept;
    /// @brief Proposes an order with a new token.
    /// @param target Identifier of the target.
    /// @param replaced Primary that it replaces; empty if unknown.
    /// @param term Lowest term of the target as primary; 0 if unknown.
    void propose(const std::string &target, const std::string &replaced, std::uint64_t term);
    [[nodiscard]] bool waitsFor(const promotion::OrderProposalCompleted &event) const noexcept
    {
        return event.proposalId == proposal_;
    }
    /// @brief The order is committed.
    void committed(std::uint64_t token);
    /// @brief Calls the platform.
    void call(Instant now);
    /// @brief Takes the end of a call, of this promotion or an earlier one.
    /// @param event The end.
    /// @param calling Whether the promotion in progress waits for its call.
    /// @param now Present time.
    [[nodiscard]] CallEffect take(const promotion::CallCompleted &event, bool calling, Instant now);
    /// @brief An earlier call to the target was accepted while the next order is committed.
    void noteAcceptedEarly() noexcept { acceptedEarly_ = true; }
    [[nodiscard]] bool acceptedEarly() const noexcept { return acceptedEarly_; }
    /// @brief The promotion is done.
    void finish();
    /// @brief Proposes to settle the newest order as promoted.
    void settle() { settle(true); }
    /// @brief Settles the newest order as not promoted once no call of it can be executed any more,
    /// so that a later leader knows of calls that can.
    void abandon(Instant now);
    void take(const promotion::SettlementProposalCompleted &event, Instant now);
    /// @brief Proposes the settlement that is due.
    void evaluate(Instant now);

    [[nodiscard]] const std::string &target() const noexcept { return target_; }
    [[nodiscard]] std::uint64_t token() const noexcept { return token_; }
    /// @brief Whether an order of the promotion in progress has a token.
    [[nodiscard]] bool ordered() const noexcept { return firstToken_ != 0; }
    /// @brief Primary that the target replaces; empty if unknown.
    [[nodiscard]] const std::string &replaced() const noexcept { return replaced_; }
    /// @brief Lowest term of the target as primary; 0 if unknown.
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    /// @brief Whether the settlement is not committed yet.
    [[nodiscard]] bool settling() const noexcept { return abandoned_ || unsettled_.has_value(); }
    [[nodiscard]] std::optional<Instant> settleAgainAt() const noexcept { return settleAgainAt_; }
    /// @brief Whether calls are noted that may yet be executed; some may have expired.
    [[nodiscard]] bool callOpen() const noexcept { return !openCalls_.empty(); }
    /// @brief Until when a call may yet be executed; expired calls are forgotten.
    [[nodiscard]] std::optional<Instant> callsEnd(Instant now);

private:
    void settle(bool promoted);

    ServiceScope &scope_;
    std::string target_{};
    std::string replaced_{};
    std::uint64_t term_ = 0;
    std::uint64_t proposal_ = 0;
    std::uint64_t token_ = 0;
    std::uint64_t firstToken_ = 0; ///< First token of the promotion in progress; 0 before it.
    bool acceptedEarly_ = false;
    bool abandoned_ = false; ///< To be settled as not promoted.
    std::optional<SettlePromotion> unsettled_{};
    std::optional<Instant> settleAgainAt_{};
    std::map<std::uint64_t, Instant> openCalls_{}; ///< Until when unanswered calls may be executed.
};

} // namespace hyssoprock::internal
