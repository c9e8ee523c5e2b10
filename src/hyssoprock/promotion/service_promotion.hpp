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
    void query(Step step, const std::vector<const KnownEndpoint *> &endpoints, Duration timeout,
               Instant now);
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
};

} // namespace hyssoprock::internal
