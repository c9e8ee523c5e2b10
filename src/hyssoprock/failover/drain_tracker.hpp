#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Waits until no entry host has work at a draining endpoint.

namespace hyssoprock {

/// @brief Draining endpoints of one group.
class DrainTracker
{
public:
    /// @brief Looks for a draining endpoint that every host has reported as drained.
    ///
    /// A report counts only if the host had a view in which the endpoint was draining and not the
    /// primary. Hosts whose lease has ended are not waited for.
    /// @param view Present view of the group.
    /// @param context Shared tables.
    /// @param now Present time.
    /// @return MarkStopped for such an endpoint.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupView &view,
                                                     const FailoverContext &context, Instant now);

private:
    struct Drain
    {
        std::uint64_t version = 0; // reports must come from this view or a later one
        ViewWait wait;             // hosts that may act on an older view
    };

    std::map<std::string, Drain, std::less<>> draining_;
};

} // namespace hyssoprock
