#pragma once

#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/failover/failover_context.hpp>

/// @file
/// @brief Selection of the voters of a group, so that the loss of a data centre leaves a majority.

namespace hyssoprock {

/// @brief Whether a voter is stopped or has not responded to any prober for
/// LeaseSettings::replaceVoter.
/// @param member The member.
/// @param context Shared tables.
/// @param now Current time.
/// @return Whether another member should replace it.
[[nodiscard]] bool isOutOfService(const Member &member, const FailoverContext &context,
                                  Instant now);

/// @brief Chooses the member to add as a voter.
/// @param view Group with a primary.
/// @param context Shared tables.
/// @param now Current time.
/// @return The caught-up spare whose data centre has the fewest voters in service, the first by
/// name among equals; null if no spare has caught up.
[[nodiscard]] const Member *chooseVoterToAdd(const GroupView &view, const FailoverContext &context,
                                             Instant now);

/// @brief Chooses the voter to remove.
///
/// The order is: a voter that is out of service, one with a planned stop, one in the data centre
/// with the most voters, the last by name. A voter that responds is kept if the responding ones
/// among the others would not be a majority.
/// @param view Group with a primary.
/// @param context Shared tables.
/// @param now Current time.
/// @return The member, or null if none may be removed now.
[[nodiscard]] const Member *chooseVoterToRemove(const GroupView &view,
                                                const FailoverContext &context, Instant now);

/// @brief Chooses a spare that would improve the distribution of the voters if it replaced one.
///
/// The distribution improves if the spare's data centre has at least two voters fewer than another
/// one. Each such replacement makes the counts per data centre more even, so replacements cannot
/// cycle.
/// @param view Group with a primary.
/// @param context Shared tables.
/// @param now Current time.
/// @return The spare, or null if there is none or if a voter is not healthy and caught up.
[[nodiscard]] const Member *chooseRebalancingSpare(const GroupView &view,
                                                   const FailoverContext &context, Instant now);

/// @brief Formats the number of voters in service in each data centre, for the log.
/// @param view Group.
/// @param context Shared tables.
/// @param now Current time.
/// @return For example "voters in service: lulea-a 2, umea-a 1".
[[nodiscard]] std::string describeVoterDistribution(const GroupView &view,
                                                    const FailoverContext &context, Instant now);

} // namespace hyssoprock
