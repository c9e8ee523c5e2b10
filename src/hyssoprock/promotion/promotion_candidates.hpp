#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/deployment/term_history.hpp>
#include <hyssoprock/promotion/primary_evidence.hpp>
#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Endpoints that are eligible for promotion.

namespace hyssoprock::internal {

/// @brief Filters and ranks the endpoints of one service.
class PromotionCandidates
{
public:
    PromotionCandidates(const ServiceScope &scope, const PrimaryEvidence &evidence)
        : scope_{scope}
        , evidence_{evidence}
    {}

    /// @brief Excludes an endpoint whose promotion the platform has refused.
    void exclude(const std::string &endpoint, Instant until) { excludedUntil_[endpoint] = until; }
    /// @brief Removes the exclusions that have expired.
    void expireExclusions(Instant now);
    [[nodiscard]] bool isEligible(const KnownEndpoint &endpoint, Instant now) const;
    /// @brief Returns the eligible endpoints; only those with fresh heartbeats, if there are any.
    /// @param replaced Primary to replace.
    /// @param now Current time.
    [[nodiscard]] std::vector<const KnownEndpoint *> list(const std::string &replaced,
                                                          Instant now) const;
    /// @brief Replaces the known starts of terms.
    void restore(std::vector<TermStart> termStarts) { termStarts_ = std::move(termStarts); }
    /// @brief Records the start of a term. What other endpoints hold of earlier terms beyond it has
    /// been given up, and readers have not seen it.
    /// @param start Start of the term; ignored if its term is unknown.
    void recordTermStart(const TermStart &start)
    {
        hyssoprock::recordTermStart(termStarts_, start);
    }
    /// @brief Whether an endpoint holds entries that a promotion has given up.
    [[nodiscard]] bool holdsGivenUpEntries(const EndpointStatusRow &row) const
    {
        return hyssoprock::holdsGivenUpEntries(termStarts_, row.received);
    }
    /// @brief Highest term whose start is known; 0 if there is none.
    [[nodiscard]] std::uint64_t newestKnownTerm() const noexcept;
    /// @brief Returns the candidate with the highest log position. One that holds entries which a
    /// promotion has given up ranks below the others.
    /// @param replaced Primary to replace.
    /// @param rows Status rows; endpoints without a row rank last.
    /// @param now Current time.
    /// @return Null if there is no candidate.
    [[nodiscard]] const KnownEndpoint *
    mostAdvanced(const std::string &replaced, const std::map<std::string, EndpointStatusRow> &rows,
                 Instant now) const;

private:
    const ServiceScope &scope_;
    const PrimaryEvidence &evidence_;
    std::map<std::string, Instant> excludedUntil_{};
    std::vector<TermStart> termStarts_{}; ///< Oldest first.
};

} // namespace hyssoprock::internal
