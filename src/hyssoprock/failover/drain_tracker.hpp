#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Detects when a draining endpoint has no more work.

namespace hyssoprock {

/// @brief Tracks the draining endpoints of one group.
class DrainTracker
{
public:
    /// @brief Finds a draining endpoint that every entry host has reported as drained.
    ///
    /// A report counts only if the view of the reporting host shows the endpoint as draining and
    /// not as the primary. Hosts without a valid lease are ignored.
    /// @param view Current view of the group.
    /// @param context Shared tables.
    /// @param now Current time.
    /// @return MarkStopped for such an endpoint, or nothing.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupView &view,
                                                     const FailoverContext &context, Instant now);

private:
    struct Drain
    {
        std::uint64_t version = 0; // minimum view version of a report
        ViewBarrier wait;          // for hosts that may act on an older view
    };

    std::map<std::string, Drain, std::less<>> draining_;
};

} // namespace hyssoprock
