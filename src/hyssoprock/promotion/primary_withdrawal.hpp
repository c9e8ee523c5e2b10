#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/promotion/primary_tracker.hpp>
#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Ends the use of a former primary before a promotion call.

namespace hyssoprock::internal {

/// @brief Ensures before a promotion call that no entry host can acknowledge a write of the former
/// primary any more: each has released it or lost its lease. Without synchronous replicas it is
/// enough that the former primary has stepped down.
class PrimaryWithdrawalStep
{
public:
    PrimaryWithdrawalStep(ServiceScope &scope, PrimaryTracker &tracker)
        : scope_{scope}
        , tracker_{tracker}
    {}

    /// @brief Restores the unsettled order of an earlier leader.
    /// @param target Target of the order.
    /// @param since When this host learned of the first order since the last settled one. Every
    /// lease granted later obliges its holder not to use a primary other than the target.
    void restore(const std::string &target, Instant since);
    /// @brief Withdraws the primary. Without fencing also orders it to step down, and each other
    /// endpoint that acts as primary of an older term, the target included: it would accept writes
    /// before its promotion takes effect.
    /// @param token Token of the committed order.
    /// @param target Target of the order.
    /// @param rows Newest status of the endpoints.
    /// @param now Current time.
    void begin(std::uint64_t token, const std::string &target,
               const std::map<std::string, EndpointStatusRow> &rows, Instant now);
    void handle(const promotion::OperationCompleted &event);
    /// @brief Records that a call for an endpoint is sent: it may become primary again.
    void handleCall(const std::string &target);
    /// @brief Handles an accepted promotion, which begins a new term.
    void handlePromotion();
    /// @brief Whether the call may be sent.
    [[nodiscard]] bool isComplete(const std::string &target, Instant now) const;
    /// @brief Requests an evaluation when isComplete() may become true, and repeats the order to
    /// step down.
    void evaluate(Instant now);

private:
    void orderStepDown(Instant now);
    void recordRow(const std::string &endpoint, const EndpointStatusRow &row);
    [[nodiscard]] bool hasSteppedDown(const std::string &endpoint) const;
    /// @brief Whether an endpoint reported that it is primary of an older term than the newest.
    [[nodiscard]] bool actsAsFormerPrimary(const std::string &endpoint) const;
    [[nodiscard]] std::optional<Instant> usableUntil(Instant now) const;

    ServiceScope &scope_;
    PrimaryTracker &tracker_;
    std::string target_{};
    std::string restoredTarget_{};
    std::optional<Instant> restoredSince_{};
    bool isRestored_ = false;   ///< The withdrawal repeats that of an earlier leader.
    std::uint64_t termMax_ = 0; ///< Newest known term; 0 if unknown.
    std::uint64_t operationId_ = 0;
    std::optional<Instant> orderedAt_{};
    /// Terms of the endpoints that are primary according to their newest status.
    std::map<std::string, std::uint64_t> actingPrimaries_{};
    /// Endpoints that have confirmed that they are replicas, with their incarnations. One that
    /// restarts acts as primary again.
    std::map<std::string, std::uint64_t> steppedDown_{};
};

} // namespace hyssoprock::internal
