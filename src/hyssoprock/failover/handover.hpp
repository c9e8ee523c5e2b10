#pragma once

#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Moves the primary off an endpoint with a planned stop.

namespace hyssoprock {

/// @brief Handovers of one group, one after the other.
class Handover
{
public:
    /// @brief Decides whether to begin a handover.
    /// @param view Active view whose primary is draining.
    /// @param context Shared tables.
    /// @param now Present time.
    /// @return BeginHandover, or nothing while there is no successor or a retry is not due.
    [[nodiscard]] std::optional<CatalogCommand> begin(const GroupView &view,
                                                      const FailoverContext &context, Instant now);

    /// @brief Notes that the view has changed to handover.
    /// @param view The view.
    /// @param now Time of the commit.
    void begun(const GroupView &view, Instant now);

    /// @brief Goes on with a handover.
    /// @param view View in the state handover.
    /// @param context Shared tables.
    /// @param now Present time.
    /// @return BeginTerm once all hosts are quiesced and a successor has caught up; CancelHandover
    /// after the limit, after CancelStop, or if this leader did not see the handover begin.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupView &view,
                                                     const FailoverContext &context, Instant now);

    /// @brief Time of the commit of BeginHandover, for the report.
    [[nodiscard]] std::optional<Instant> begunAt() const noexcept { return begunAt_; }

    /// @brief The caught-up successor; empty before it is known.
    [[nodiscard]] const std::string &successor() const noexcept { return successor_; }

    /// @brief Ends the present handover.
    void reset() noexcept;

private:
    [[nodiscard]] std::optional<CatalogCommand> cancel(const GroupView &view,
                                                       const FailoverContext &context, Instant now,
                                                       const std::string &reason);
    [[nodiscard]] std::string findCaughtUp(const GroupView &view, const FailoverContext &context,
                                           Instant now) const;

    std::optional<Instant> begunAt_;
    std::uint64_t version_ = 0;
    std::optional<Instant> quiescedAt_;
    std::string successor_;
    Instant nextAttempt_{};
    bool cancelled_ = false;
    bool loggedNoSuccessor_ = false;
};

} // namespace hyssoprock
