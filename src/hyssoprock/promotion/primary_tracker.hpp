#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Which endpoint of a service is the primary.

namespace hyssoprock::internal {

/// @brief Knows the primary by the last accepted promotion, or else by heartbeats, and names it to
/// the entry hosts.
class PrimaryTracker
{
public:
    explicit PrimaryTracker(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Takes the newest order from the log of the control group.
    void restore(const PromotionRecord &record, Instant now);
    /// @brief A call was accepted.
    void accept(const std::string &endpoint, std::uint64_t token, Instant now);
    /// @brief A query has shown that an endpoint is primary. Requires mayName().
    void acceptFound(const KnownEndpoint &endpoint, Instant now);

    /// @brief The primary as far as is known; null for none.
    [[nodiscard]] const KnownEndpoint *primary(Instant now);
    /// @brief Whether an epoch is left before the next token.
    [[nodiscard]] bool mayName() const noexcept;
    [[nodiscard]] bool named(const std::string &endpoint) const
    {
        return named_.endpoint == endpoint;
    }
    /// @brief Names a primary on its own statement. Requires mayName().
    void nameStated(const std::string &endpoint);

    /// @brief Until when only a failure or draining of the accepted target counts; the past if
    /// none was accepted under this leader.
    [[nodiscard]] Instant stableUntil() const;
    /// @brief Until when the last accepted call may still depose the old primary.
    /// @return Nothing if that time is over.
    [[nodiscard]] std::optional<Instant> depositionEnd(Instant now) const;
    /// @brief When a service without a primary gets one.
    /// @return Nothing if no endpoint is known.
    [[nodiscard]] std::optional<Instant> missingDue();

private:
    /// @brief Target of the last accepted promotion.
    struct Accepted
    {
        std::string endpoint;
        Instant at{};
        std::optional<std::uint64_t> bornMs; ///< Incarnation; unknown until it is heard.
        bool saidPrimary = false;
        bool restored = false; ///< Accepted under an earlier leader.
    };

    void name(const std::string &endpoint, std::uint64_t epoch);
    void note(const KnownEndpoint *primary, Instant now);

    ServiceScope &scope_;
    std::optional<Accepted> accepted_{};
    std::uint64_t acceptedToken_ = 0; ///< Token of the last accepted call, or of a restored order.
    Instant claimsCountFrom_{};       ///< Claims to be primary that began earlier are out of date.
    PrimaryRecord named_{};
    std::string lastPrimary_{};
    std::uint64_t lastPrimaryBornMs_ = 0;
    std::optional<Instant> firstHeard_{};
    std::optional<Instant> missingSince_{};
};

} // namespace hyssoprock::internal
