#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/log_position.hpp>

/// @file
/// @brief Lower bounds of the positions that a session may read.

namespace hyssoprock {

/// @brief Floor of a session for one group.
struct FloorEntry
{
    LogPosition position{};  ///< Highest position that the session has read or written.
    bool established = true; ///< False after an outcome without a position: the next read must use
                             ///< the primary, because a replica could miss the session's own write.

    [[nodiscard]] bool operator==(const FloorEntry &) const = default;
};

/// @brief Floors of a session by group. A floor is never lowered.
class SessionFloor
{
public:
    /// @brief Floor of a group; empty if a primary's answer must establish it first.
    /// @param group Name of the group.
    [[nodiscard]] std::optional<LogPosition> establishedPosition(std::string_view group) const;

    /// @brief Floor of a group even if it is not established; 0/0 if there is none.
    /// @param group Name of the group.
    [[nodiscard]] LogPosition lowerBound(std::string_view group) const;

    /// @brief Raises and establishes a floor, after a primary's answer or for a new session.
    /// @return Whether anything changed.
    bool establish(std::string_view group, const LogPosition &position);

    /// @brief Raises a floor without establishing it.
    /// @return Whether anything changed.
    bool raise(std::string_view group, const LogPosition &position);

    /// @brief Keeps the position, but requires a primary's answer before the next replica read.
    /// @return Whether anything changed.
    bool invalidate(std::string_view group);

    /// @brief Merges another floor, with the higher position of each group. The result for a group
    /// is established only if it is on every side that has the group.
    /// @return Whether anything changed.
    bool merge(const SessionFloor &other);

    /// @brief Whether each group's position is at least that of the other floor.
    [[nodiscard]] bool covers(const SessionFloor &other) const;

    /// @brief Floors of all groups, sorted by name.
    [[nodiscard]] const std::map<std::string, FloorEntry, std::less<>> &entries() const noexcept
    {
        return entries_;
    }

    [[nodiscard]] bool operator==(const SessionFloor &) const = default;

private:
    std::map<std::string, FloorEntry, std::less<>> entries_;
};

} // namespace hyssoprock
