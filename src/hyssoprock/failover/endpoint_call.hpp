#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Administrative calls to endpoints and their responses (section 5 of the design).

namespace hyssoprock {

/// @brief A voter, as an argument of hyssoprock_promote and hyssoprock_voters.
struct VoterAddress
{
    std::string endpoint; ///< Name.
    std::string address;  ///< IP number and port.

    [[nodiscard]] bool operator==(const VoterAddress &) const = default;
};

/// @brief hyssoprock_status().
struct StatusCall
{
    [[nodiscard]] bool operator==(const StatusCall &) const = default;
};

/// @brief hyssoprock_fence(term).
struct FenceCall
{
    std::uint64_t term = 0; ///< The endpoint refuses lower terms from then on.

    [[nodiscard]] bool operator==(const FenceCall &) const = default;
};

/// @brief hyssoprock_promote(term, voters).
struct PromoteCall
{
    std::uint64_t term = 0;           ///< Term of the new primary.
    std::vector<VoterAddress> voters; ///< Voters, sorted by name.

    [[nodiscard]] bool operator==(const PromoteCall &) const = default;
};

/// @brief hyssoprock_follow(term, primary, address).
struct FollowCall
{
    std::uint64_t term = 0; ///< Term of the primary.
    std::string primary;    ///< Name of the primary.
    std::string address;    ///< Address of the primary.

    [[nodiscard]] bool operator==(const FollowCall &) const = default;
};

/// @brief hyssoprock_voters(term, voters, version).
///
/// Without the version, a delayed call of an earlier leader could restore an older set of voters,
/// whose majorities need not overlap with those of the current set.
struct VotersCall
{
    std::uint64_t term = 0;    ///< Current term.
    std::uint64_t version = 0; ///< The endpoint refuses a lower version than the last of a term.
    std::vector<VoterAddress> voters; ///< Voters, sorted by name.

    [[nodiscard]] bool operator==(const VotersCall &) const = default;
};

/// @brief Any administrative call.
using EndpointRequest = std::variant<StatusCall, FenceCall, PromoteCall, FollowCall, VotersCall>;

/// @brief Parsed response to an administrative call.
///
/// A status response sets every field, a fence response only the position, other responses none.
/// A response with an SQLSTATE is a failed call, see EndpointCallFailed.
struct EndpointCallResponse
{
    std::string name;                ///< Name of the endpoint.
    std::uint64_t incarnation = 0;   ///< Its incarnation.
    std::string role;                ///< "primary" or "replica".
    std::uint64_t term = 0;          ///< Term in which it is primary or replica.
    LogPosition position;            ///< Last log entry (last_term, last_index).
    std::uint64_t majorityIndex = 0; ///< Primary only: index known to be held by a majority.
    std::uint64_t fencedTerm = 0;    ///< Lower terms are refused.
    std::string primary;             ///< Primary that it follows.
    std::uint32_t inFlight = 0;      ///< Number of running statements.
    std::uint32_t connections = 0;   ///< Number of open connections.
    std::vector<std::string> voters; ///< Primary only: names of its voters.

    [[nodiscard]] bool operator==(const EndpointCallResponse &) const = default;
};

} // namespace hyssoprock
