#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <hyssoprock/promotion/reachability_votes.hpp>
#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Judges a primary by the reports of entry hosts and by its heartbeats.

namespace hyssoprock::internal {

/// @brief What is to be done about a primary.
enum class PrimaryVerdict : std::uint8_t {
    Keep,
    Replace,      ///< It is unreachable.
    QueryPrimary, ///< No entry host is connected; the leader's own query decides.
    QueryRoles,   ///< Entry hosts say that it is none; all endpoints are queried.
};

/// @brief Verdict with its reason.
struct PrimaryJudgment
{
    PrimaryVerdict verdict = PrimaryVerdict::Keep;
    std::string reason{}; ///< Replace: for the log.
};

/// @brief Evidence about the endpoints of one service.
class PrimaryEvidence
{
public:
    explicit PrimaryEvidence(ServiceScope &scope)
        : scope_{scope}
    {}

    void add(const EvidenceReport &report, Instant now) { votes_.add(report, now); }
    /// @brief Judges the primary; asks entry hosts if there is a reason.
    /// @param primary The primary.
    /// @param stableUntil Until when only a lasting failure counts.
    /// @param now Present time.
    [[nodiscard]] PrimaryJudgment judge(const KnownEndpoint &primary, Instant stableUntil,
                                        Instant now);
    /// @brief Whether entry hosts cannot reach an endpoint.
    [[nodiscard]] bool unreachable(const std::string &endpoint, Instant now) const
    {
        return votes_.unreachable(endpoint, scope_.context().entryHosts, now);
    }
    /// @brief Forgets all, after a promotion.
    void clear();

private:
    [[nodiscard]] PrimaryJudgment judgeHeartbeats(const KnownEndpoint &primary, Instant stableUntil,
                                                  Instant now);

    ServiceScope &scope_;
    ReachabilityVotes votes_{};
    std::optional<Instant> askedAt_{};
    std::string askedEndpoint_{};
    std::optional<Instant> unreachableSince_{};
    std::optional<Instant> checkedAt_{};
};

} // namespace hyssoprock::internal
