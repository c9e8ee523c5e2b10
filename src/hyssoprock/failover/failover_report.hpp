#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Where the time of a failover went.

namespace hyssoprock {

/// @brief Shares of one change of primary, on the leader's clock. The shares do not overlap.
///
/// For a planned stop, detection runs from the commit of BeginHandover, when hosts begin to hold
/// new work. A change of primary that an earlier leader had begun counts from the gain of
/// leadership.
struct FailoverReport
{
    std::string group;        ///< Group.
    std::uint64_t term = 0;   ///< Term of the new primary.
    std::string endpoint;     ///< New primary.
    std::string reason;       ///< What started it.
    std::uint32_t terms = 1;  ///< Terms that were begun until one had a primary.
    Duration detection{0};    ///< From the old primary's last known answer to the decision.
    Duration earlierTerms{0}; ///< From the first decision to the decision for this term.
    Duration consensus{0};    ///< From the decision to the commit of BeginTerm.
    Duration fencing{0};      ///< From there until a majority of voters was fenced.
    Duration leaseWait{0};    ///< From there until no host lease under an older view was left.
    Duration promotion{0};    ///< From there to the commit of ActivatePrimary.
    Duration propagation{0};  ///< From there until every host with a lease had the view.

    /// @brief Sum of the shares.
    [[nodiscard]] Duration total() const noexcept
    {
        return detection + earlierTerms + consensus + fencing + leaseWait + promotion + propagation;
    }
    [[nodiscard]] bool operator==(const FailoverReport &) const = default;
};

} // namespace hyssoprock
