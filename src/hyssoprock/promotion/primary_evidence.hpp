#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/promotion/reachability_votes.hpp>
#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Detects a failed primary from the reports of entry hosts and from heartbeats.

namespace hyssoprock::internal {

/// @brief Action that the evidence about a primary calls for.
enum class PrimaryDecision : std::uint8_t {
    Keep,
    Replace,      ///< The primary is unreachable.
    QueryPrimary, ///< No entry host is connected; the control leader queries the primary itself.
    QueryRoles,   ///< Entry hosts report that it is not primary; all endpoints are queried.
};

/// @brief A decision and its reason.
struct PrimaryAssessment
{
    PrimaryDecision decision = PrimaryDecision::Keep;
    std::string reason{}; ///< Reason for Replace, written to the log.
};

/// @brief Collects evidence about the endpoints of one service.
class PrimaryEvidence
{
public:
    explicit PrimaryEvidence(ServiceScope &scope)
        : scope_{scope}
    {}

    void add(const EvidenceReport &report, Instant now) { votes_.add(report, now); }
    /// @brief Assesses the primary, and requests reports from entry hosts if it may have failed.
    /// @param primary Primary to assess.
    /// @param stableUntil Before this time only a failure that lasts counts.
    /// @param now Current time.
    [[nodiscard]] PrimaryAssessment evaluate(const KnownEndpoint &primary, Instant stableUntil,
                                             Instant now);
    /// @brief Whether a sufficient number of entry hosts cannot reach an endpoint.
    [[nodiscard]] bool isUnreachable(const std::string &endpoint, Instant now) const
    {
        return votes_.isUnreachable(endpoint, scope_.controller().entryHosts, now);
    }
    /// @brief Discards all evidence after a promotion.
    void clear();

private:
    /// Requests reports unless that was done recently.
    void requestReports(const std::string &endpoint, const ReachabilityCount &count, Instant now);
    /// @return A sample of the connected entry hosts that differs between rounds.
    [[nodiscard]] std::vector<std::string> samplePanel(const std::string &endpoint) const;
    [[nodiscard]] PrimaryAssessment evaluateHeartbeats(const KnownEndpoint &primary,
                                                       Instant stableUntil, Instant now);

    ServiceScope &scope_;
    ReachabilityVotes votes_{};
    std::optional<Instant> requestedAt_{};
    std::string requestedEndpoint_{};
    bool requestedFromAll_ = false; ///< The last request went to all entry hosts.
    std::uint64_t round_ = 0;       ///< Number of requests.
    std::optional<Instant> unreachableSince_{};
    std::optional<Instant> queriedAt_{};
};

} // namespace hyssoprock::internal
