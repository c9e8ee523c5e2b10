#pragma once

#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/daemon/json_text.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief What hyssoprockctl prints.

namespace hyssoprock {

/// @brief Where a configuration revision is in force.
struct RevisionProgress
{
    std::uint64_t revision = 0;        ///< The revision.
    std::vector<std::string> behind{}; ///< Hosts with a valid lease and an older revision.
    std::size_t inForce = 0;           ///< Hosts with a valid lease and at least this revision.

    /// @brief Whether no host is behind.
    [[nodiscard]] bool everywhere() const noexcept { return behind.empty(); }
};

/// @brief Compares the hosts' revisions with one.
/// @param status Answer of the leader.
/// @param revision The revision.
/// @return Who has it.
[[nodiscard]] RevisionProgress revisionProgress(const StatusResponse &status,
                                                std::uint64_t revision);

/// @brief State of the system for people.
/// @param status Answer of the leader.
/// @return Several lines.
[[nodiscard]] std::string describe(const StatusResponse &status);

/// @brief State of the system as JSON.
/// @param status Answer of the leader.
/// @return One object.
[[nodiscard]] std::string toJson(const StatusResponse &status);

/// @brief Answer to a change as JSON.
/// @param changeId Id of the change.
/// @param response Answer of the leader.
/// @return One object.
[[nodiscard]] std::string toJson(const std::string &changeId, const OperatorResponse &response);

/// @brief Progress of a revision as JSON.
/// @param progress Progress.
/// @return One object.
[[nodiscard]] std::string toJson(const RevisionProgress &progress);

} // namespace hyssoprock
