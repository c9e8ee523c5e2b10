#pragma once

#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Planned handover of the primary role.

namespace hyssoprock {

/// @brief Moves the primary of one group away from an endpoint with a planned stop.
class Handover
{
public:
    /// @brief Begins a handover if a successor is available.
    /// @param view Active view whose primary is draining.
    /// @param context Shared tables.
    /// @param now Current time.
    /// @return BeginHandover, or nothing while there is no successor or the retry delay has not
    /// passed.
    [[nodiscard]] std::optional<CatalogCommand> begin(const GroupView &view,
                                                      const FailoverContext &context, Instant now);

    /// @brief Handles the commit of BeginHandover.
    /// @param view The view.
    /// @param now Time of the commit.
    void handleBegin(const GroupView &view, Instant now);

    /// @brief Continues a handover.
    /// @param view View in the state handover.
    /// @param context Shared tables.
    /// @param now Current time.
    /// @return BeginTerm once all hosts are quiesced and a successor has caught up; CancelHandover
    /// after the time limit, after CancelStop, or if an earlier leader began the handover.
    [[nodiscard]] std::optional<CatalogCommand> step(const GroupView &view,
                                                     const FailoverContext &context, Instant now);

    /// @brief Time of the commit of BeginHandover.
    [[nodiscard]] std::optional<Instant> begunAt() const noexcept { return begunAt_; }

    /// @brief The successor that has caught up; empty until there is one.
    [[nodiscard]] const std::string &successor() const noexcept { return successor_; }

    /// @brief Discards the state of the current handover, but not the retry delay.
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
