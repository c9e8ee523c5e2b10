#pragma once

#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Which members of a group should be voters, so that losing a data centre leaves a
/// majority.

namespace hyssoprock {

/// @brief Whether a voter gives no service: stopped, or silent for everybody for a long time.
/// @param member Member.
/// @param context Shared tables.
/// @param now Present time.
/// @return Whether another member should take its place.
[[nodiscard]] bool isLost(const Member &member, const FailoverContext &context, Instant now);

/// @brief Chooses the member that becomes a voter.
/// @param view Group with a primary.
/// @param context Shared tables.
/// @param now Present time.
/// @return The caught-up spare whose data centre has the fewest voters that are not lost, the first
/// by name among equals; null if no spare has caught up.
[[nodiscard]] const Member *chooseSpare(const GroupView &view, const FailoverContext &context,
                                        Instant now);

/// @brief Chooses the member that stops being a voter.
///
/// A lost voter goes first, then one with a planned stop, then one in the data centre with the most
/// voters, then the last by name. A voter that answers stays if the answering ones among the others
/// were no majority of them.
/// @param view Group with a primary.
/// @param context Shared tables.
/// @param now Present time.
/// @return The member, or null if none may go now.
[[nodiscard]] const Member *chooseSurplus(const GroupView &view, const FailoverContext &context,
                                          Instant now);

/// @brief Chooses a spare that would spread the voters better in place of a present voter.
///
/// The voters spread better if the spare's data centre has at least two voters fewer than another
/// one. Each such move makes the numbers per data centre more even, so moves cannot go in circles.
/// @param view Group with a primary.
/// @param context Shared tables.
/// @param now Present time.
/// @return The spare, or null if there is none or if a voter is not healthy and caught up.
[[nodiscard]] const Member *chooseBetterSpare(const GroupView &view, const FailoverContext &context,
                                              Instant now);

/// @brief Number of voters in each data centre that are not lost, for the log.
/// @param view Group.
/// @param context Shared tables.
/// @param now Present time.
/// @return For example "voters in service: lulea-a 2, umea-a 1".
[[nodiscard]] std::string describeSpread(const GroupView &view, const FailoverContext &context,
                                         Instant now);

} // namespace hyssoprock
