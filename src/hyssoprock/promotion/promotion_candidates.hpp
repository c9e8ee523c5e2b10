#pragma once

#include <map>
#include <string>
#include <vector>

#include <hyssoprock/promotion/primary_evidence.hpp>
#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief Endpoints that may become primary.

namespace hyssoprock::internal {

/// @brief Chooses among the endpoints of one service.
class PromotionCandidates
{
public:
    PromotionCandidates(const ServiceScope &scope, const PrimaryEvidence &evidence)
        : scope_{scope}
        , evidence_{evidence}
    {}

    /// @brief Rules out an endpoint that the platform has refused.
    void exclude(const std::string &endpoint, Instant until) { excludedUntil_[endpoint] = until; }
    /// @brief Ends the exclusions that are over.
    void expire(Instant now);
    [[nodiscard]] bool eligible(const KnownEndpoint &endpoint, Instant now) const;
    /// @brief Eligible endpoints; only those that are heard, if there are such.
    /// @param replaced Primary that is to be replaced.
    /// @param now Present time.
    [[nodiscard]] std::vector<const KnownEndpoint *> list(const std::string &replaced,
                                                          Instant now) const;
    /// @brief Candidate with the highest position.
    /// @param replaced Primary that is to be replaced.
    /// @param rows What endpoints have answered; those without a row come last.
    /// @param now Present time.
    /// @return Null if there is no candidate.
    [[nodiscard]] const KnownEndpoint *best(const std::string &replaced,
                                            const std::map<std::string, EndpointStatusRow> &rows,
                                            Instant now) const;

private:
    const ServiceScope &scope_;
    const PrimaryEvidence &evidence_;
    std::map<std::string, Instant> excludedUntil_{};
};

} // namespace hyssoprock::internal
