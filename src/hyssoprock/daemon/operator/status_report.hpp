#pragma once

#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/daemon/json_text.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Output of hyssoprockctl.

namespace hyssoprock {

/// @brief Hosts on which a configuration revision is in force.
struct RevisionProgress
{
    std::uint64_t revision = 0;        ///< Revision.
    std::vector<std::string> behind{}; ///< Hosts with a valid lease and an older revision.
    std::size_t inForce = 0; ///< Number of hosts with a valid lease and at least this revision.

    /// @brief Whether the revision is in force on all hosts with a valid lease.
    [[nodiscard]] bool everywhere() const noexcept { return behind.empty(); }
};

/// @brief Determines on which hosts a configuration revision is in force.
/// @param status Answer of the leader.
/// @param revision Revision.
[[nodiscard]] RevisionProgress revisionProgress(const StatusResponse &status,
                                                std::uint64_t revision);

/// @brief Formats the state of the system as plain text of several lines.
/// @param status Answer of the leader.
[[nodiscard]] std::string describe(const StatusResponse &status);

/// @brief Formats the state of the system as a JSON object.
/// @param status Answer of the leader.
[[nodiscard]] std::string toJson(const StatusResponse &status);

/// @brief Formats the answer to a change as a JSON object.
/// @param changeId Id of the change.
/// @param response Answer of the leader.
[[nodiscard]] std::string toJson(const std::string &changeId, const OperatorResponse &response);

/// @brief Formats the progress of a revision as a JSON object.
[[nodiscard]] std::string toJson(const RevisionProgress &progress);

} // namespace hyssoprock
