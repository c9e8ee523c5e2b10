#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Tracks which endpoint of a service is the primary.

namespace hyssoprock::internal {

/// @brief Determines the primary from the last accepted promotion or, without one, from heartbeats,
/// and announces it to the entry hosts.
class PrimaryTracker
{
public:
    explicit PrimaryTracker(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Restores the newest order from the log of the control group.
    void restore(const PromotionRecord &record, Instant now);
    /// @brief Records that the platform accepted a promotion call.
    void acceptPromotion(const std::string &endpoint, std::uint64_t token, Instant now);
    /// @brief Records a primary that was found by a query. Requires canAnnounceClaim().
    void acceptQueried(const KnownEndpoint &endpoint, Instant now);

    /// @brief Announces that the primary is not to be used any more.
    /// @param token Token of the order that replaces it. Later announcements have higher epochs.
    void withdraw(std::uint64_t token);
    /// @brief Endpoint that entry hosts may use as primary, or used last; empty if none is known.
    [[nodiscard]] const std::string &usedPrimary() const noexcept { return usedPrimary_; }
    /// @brief Epoch of the current withdrawal; std::nullopt if an endpoint is announced.
    [[nodiscard]] std::optional<std::uint64_t> withdrawalEpoch() const;

    /// @brief Returns the current primary; null if none is known.
    [[nodiscard]] const KnownEndpoint *primary(Instant now);
    /// @brief Whether an unused epoch is left below that of the next token.
    [[nodiscard]] bool canAnnounceClaim() const noexcept;
    [[nodiscard]] bool isAnnounced(const std::string &endpoint) const
    {
        return announced_.endpoint == endpoint;
    }
    /// @brief Announces an endpoint that claims to be primary. Requires canAnnounceClaim().
    void announceClaim(const std::string &endpoint);

    /// @brief Until when only a failure or draining of the accepted target leads to another
    /// promotion. In the past if this leader has accepted none.
    [[nodiscard]] Instant stableUntil() const;
    /// @brief Until when the platform may still be deposing the old primary after the last accepted
    /// call.
    /// @return std::nullopt if the deposition has ended.
    [[nodiscard]] std::optional<Instant> depositionEndsAt(Instant now) const;
    /// @brief When a service without a primary may have one promoted.
    /// @return std::nullopt if no endpoint is known.
    [[nodiscard]] std::optional<Instant> missingDeadline();

private:
    /// @brief Target of the last accepted promotion.
    struct Accepted
    {
        std::string endpoint;
        Instant acceptedAt{};
        std::optional<std::uint64_t> bornMs; ///< Incarnation; unset until its first heartbeat.
        bool hasReportedPrimary = false;
        bool isRestored = false; ///< Accepted under an earlier leader.
    };

    void announce(const std::string &endpoint, std::uint64_t epoch);
    void announcePromoted(const std::string &endpoint, std::uint64_t token);
    [[nodiscard]] bool isClaimTrusted(const std::string &endpoint) const;
    void recordPrimary(const KnownEndpoint *primary, Instant now);

    ServiceScope &scope_;
    std::optional<Accepted> accepted_{};
    std::uint64_t acceptedToken_ = 0; ///< Token of the last accepted call or of a restored order.
    Instant claimsValidSince_{}; ///< Claims to be primary that are older than this are outdated.
    PrimaryRecord announced_{};
    std::string usedPrimary_{};
    std::string lastPromoted_{}; ///< Target of the last accepted promotion; empty if unknown.
    std::string lastPrimary_{};
    std::uint64_t lastPrimaryBornMs_ = 0;
    std::optional<Instant> firstHeartbeatAt_{};
    std::optional<Instant> missingSince_{};
};

} // namespace hyssoprock::internal
