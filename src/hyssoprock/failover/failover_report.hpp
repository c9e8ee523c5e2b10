#pragma once

#include <cstdint>
#include <string>

#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Durations of the phases of a failover.

namespace hyssoprock {

/// @brief Phases of one change of primary, measured on the leader's clock. They do not overlap.
///
/// For a planned stop, detection starts at the commit of BeginHandover, when hosts begin to queue
/// new work. A change of primary that an earlier leader began is measured from the time at which
/// this host became the leader.
struct FailoverReport
{
    std::string group;        ///< Group.
    std::uint64_t term = 0;   ///< Term of the new primary.
    std::string endpoint;     ///< New primary.
    std::string reason;       ///< Cause of the change.
    std::uint32_t terms = 1;  ///< Number of terms begun until one had a primary.
    Duration detection{0};    ///< From the old primary's last known response to the decision.
    Duration earlierTerms{0}; ///< From the first decision to the decision for this term.
    Duration consensus{0};    ///< From the decision to the commit of BeginTerm.
    Duration fencing{0};      ///< From there until a majority of voters was fenced.
    Duration leaseWait{0};    ///< From there until no host lease under an older view was left.
    Duration promotion{0};    ///< From there to the commit of ActivatePrimary.
    Duration propagation{0};  ///< From there until every host with a lease had the view.

    [[nodiscard]] Duration total() const noexcept
    {
        return detection + earlierTerms + consensus + fencing + leaseWait + promotion + propagation;
    }
    [[nodiscard]] bool operator==(const FailoverReport &) const = default;
};

} // namespace hyssoprock
