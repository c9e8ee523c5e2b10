#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/promotion/promotion_event.hpp>
#include <hyssoprock/promotion/reachability_votes.hpp>
#include <hyssoprock/promotion/replica_pauses.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief Primary of one service, and the promotion that replaces it.

namespace hyssoprock::internal {

/// @brief What the services of a controller share.
struct PromotionContext
{
    const EndpointRegistry &registry;
    Duration stableWindow{};
    std::set<std::string> entryHosts;
    std::map<std::string, std::uint32_t> synchronousReplicas; ///< By service, if not 0.
    Instant leaderSince{};
    std::uint64_t lastQuery = 0;
    std::uint64_t lastProposal = 0;
    PromotionActions actions;
};

/// @brief State machine of one service, alive while this host leads.
class ServicePromotion
{
public:
    ServicePromotion(PromotionContext &context, std::string service)
        : context_{context}
        , service_{std::move(service)}
        , pauses_{context.registry, service_, context.lastQuery, context.actions}
    {}

    /// @brief Takes the newest order from the log of the control group.
    void restore(const PromotionRecord &record, Instant now);
    void take(const EvidenceReport &report, Instant now);
    void take(const promotion::StatusArrived &event, Instant now);
    void take(const promotion::OrderEnded &event, Instant now);
    void take(const promotion::SettlementEnded &event, Instant now);
    void take(const promotion::CallEnded &event, Instant now);
    /// @brief Carries out what has become due, and finds the next deadline.
    void evaluate(Instant now);
    /// @brief When evaluate() is due at the latest.
    [[nodiscard]] std::optional<Instant> deadline() const noexcept { return deadline_; }

private:
    enum class Step : std::uint8_t {
        Idle,
        CheckingRole,    ///< Entry hosts say that the named primary is none; all are queried.
        CheckingPrimary, ///< No entry host is connected; the primary is queried.
        Querying,        ///< Candidates are queried.
        QueryingTerm,    ///< All are queried for their term, which the pause has to exceed.
        PausingReplicas, ///< Synchronous replicas are paused.
        SteppingDown,    ///< The primary is told to step down.
        QueryingFinal,   ///< Candidates are queried for the final position of that primary.
        Ordering,        ///< The order is being committed.
        Calling,         ///< The platform was called.
        Pausing,         ///< Waiting to order again.
    };

    /// @brief Target of the last accepted promotion.
    struct Accepted
    {
        std::string endpoint;
        std::uint64_t token = 0;
        Instant at{};
        std::optional<std::uint64_t> bornMs; ///< Incarnation; unknown until it is heard.
        bool saidPrimary = false;
        bool restored = false; ///< Accepted under an earlier leader.
    };

    /// @brief Primary that stepped down, and the end of its log.
    struct SteppedDown
    {
        std::string endpoint;
        std::uint64_t bornMs = 0;
        LogPosition final;
    };

    [[nodiscard]] const KnownEndpoint *primary(Instant now);
    void name(const std::string &endpoint, std::uint64_t epoch);
    void nameByHeartbeat(const KnownEndpoint &endpoint, Instant now);
    void judgePrimary(const KnownEndpoint &primary, Instant now);
    void judgeReports(const KnownEndpoint &primary, Instant now);
    void judgeMissing(Instant now);
    [[nodiscard]] bool acceptedLately(Instant now) const;
    [[nodiscard]] bool fresh(const KnownEndpoint &endpoint, Instant now) const;
    [[nodiscard]] std::vector<const KnownEndpoint *> candidates(Instant now);
    [[nodiscard]] bool eligible(const KnownEndpoint &endpoint, Instant now) const;
    void beginPromotion(const std::string &reason, const KnownEndpoint *replaced, Instant now);
    void beginAgain(const std::string &reason, Instant now);
    void confirm(const std::string &endpoint, Instant now);
    void beginPause(const std::string &reason, Instant now);
    void sendPauses(Instant now);
    void advancePause(bool due, Instant now);
    [[nodiscard]] bool orderPaused(Instant now);
    void finishStepDown(Instant now);
    void finishFinalQuery(Instant now);
    /// @brief Takes up the cause of the promotion again after a while.
    void retryLater(Instant now);
    void requestRelease(Instant now);
    void releaseIfSafe(Instant now);
    /// @brief Whether no order or call is left that relies on the pause.
    [[nodiscard]] bool mayResume(Instant now);
    /// @brief Whether an order for the target may be proposed, or its call sent.
    [[nodiscard]] bool mayCall(const KnownEndpoint *target, Instant now) const;
    /// @brief Whether no call is left that may yet be executed.
    [[nodiscard]] bool callsEnded(Instant now);
    [[nodiscard]] std::uint32_t synchronous() const;
    /// @brief Replicas that must be paused so that no commit can be answered without one of them.
    [[nodiscard]] std::size_t requiredPauses() const;
    [[nodiscard]] bool finalPositionHolds() const;
    /// @brief Whether what the target was chosen on still holds.
    [[nodiscard]] bool holdsAllCommits() const;
    void query(Step step, const std::vector<const KnownEndpoint *> &endpoints, Duration timeout,
               Instant now, EndpointOrder order = EndpointOrder::Status);
    void finishQuery(Instant now);
    void choose(Instant now);
    void finishRoleCheck(Instant now);
    void finishPrimaryCheck(Instant now);
    void advance(Instant now);
    void order(const std::string &target);
    void orderAgain(Instant now);
    void pause(Instant until);
    void accept(Instant now);
    void settle(std::uint64_t token, bool promoted);
    void propose(ControlCommand command);
    void log(const std::string &text);
    void wakeAt(Instant at);

    PromotionContext &context_;
    std::string service_;
    ReachabilityVotes votes_;
    std::optional<Instant> deadline_;

    std::optional<Accepted> accepted_;
    std::uint64_t acceptedToken_ = 0; ///< Token of the last accepted call, or of a restored order.
    Instant claimsCountFrom_{};       ///< Claims to be primary that began earlier are out of date.
    PrimaryRecord named_;
    std::string lastPrimary_;
    std::uint64_t lastPrimaryBornMs_ = 0;
    std::optional<Instant> firstHeard_;
    std::optional<Instant> missingSince_;

    std::optional<Instant> askedAt_;
    std::string askedEndpoint_;
    std::optional<Instant> unreachableSince_;
    std::optional<Instant> checkedAt_;

    Step step_ = Step::Idle;
    Instant stepDeadline_{};
    std::uint64_t query_ = 0;
    std::set<std::string> unanswered_;
    std::map<std::string, EndpointStatusRow> rows_;
    bool reached_ = false; ///< A queried endpoint has answered.
    bool planned_ = false;
    int rounds_ = 0;
    std::string replaced_; ///< Primary that the promotion in progress replaces.
    std::string target_;
    std::uint64_t proposal_ = 0;
    std::uint64_t token_ = 0;
    std::uint64_t firstToken_ = 0; ///< First token of the promotion in progress; 0 before it.
    bool acceptedEarly_ = false;   ///< An earlier call to the same target was accepted meanwhile.
    std::map<std::string, Instant> excludedUntil_;
    std::optional<SettlePromotion> unsettled_;
    std::optional<Instant> settleAgainAt_;

    ReplicaPauses pauses_;
    std::optional<std::uint64_t> highestTerm_; ///< Of all status rows.
    std::uint64_t pauseTerm_ = 0;
    bool pausedAgain_ = false;   ///< The first pause of this attempt had a term that was too low.
    bool confirms_ = false;      ///< `replaced_` is primary by its own account and is the target.
    bool restoredOrder_ = false; ///< The order of an earlier leader is repeated.
    bool releaseWanted_ = false;
    bool resumedAll_ = false; ///< Pauses of earlier leaders were ended.
    Instant retryAt_{};
    std::string pauseReason_;
    std::optional<SteppedDown> steppedDown_;
    bool byFinalPosition_ = false; ///< The target has reached that position.
    bool finalQueryNext_ = false;
    std::map<std::uint64_t, Instant> openCalls_; ///< Until when unanswered calls may be executed.
};

} // namespace hyssoprock::internal
