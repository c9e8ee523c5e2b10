#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <hyssoprock/core/log_position.hpp>

/// @file
/// @brief What a session has seen of each group.

namespace hyssoprock {

/// @brief Lower bound of the positions that a session may read, for one group.
struct FloorEntry
{
    LogPosition position{};  ///< Position that the session has read or written.
    bool established = true; ///< False after an outcome without a position: the next read must use
                             ///< the primary, because a replica could miss the session's own write.

    [[nodiscard]] bool operator==(const FloorEntry &) const = default;
};

/// @brief Vector of group and position. A floor is never lowered.
class SessionFloor
{
public:
    /// @brief Floor of a group if it suffices to choose a replica.
    /// @param group Name of the group.
    /// @return The position, or nothing if only a primary's answer can establish it.
    [[nodiscard]] std::optional<LogPosition> establishedPosition(std::string_view group) const;

    /// @brief Lower bound of a group, whether or not it is known to be complete.
    /// @param group Name of the group.
    /// @return The position; 0/0 if there is none.
    [[nodiscard]] LogPosition lowerBound(std::string_view group) const;

    /// @brief Raises a floor and makes it known: after a primary's answer or for a new session.
    /// @return Whether anything changed.
    bool establish(std::string_view group, const LogPosition &position);

    /// @brief Raises a floor; one that was not known stays so.
    /// @return Whether anything changed.
    bool raise(std::string_view group, const LogPosition &position);

    /// @brief Keeps the bound, but requires a primary's answer before the next replica read.
    /// @return Whether anything changed.
    bool invalidate(std::string_view group);

    /// @brief Takes the higher position of each group. A group that either side does not know
    /// for certain is not known afterwards; one that only one side has is taken over.
    /// @return Whether anything changed.
    bool merge(const SessionFloor &other);

    /// @brief Compares two floors.
    /// @return Whether each group's position here is at least the other's.
    [[nodiscard]] bool covers(const SessionFloor &other) const;

    /// @brief All groups, sorted by name.
    [[nodiscard]] const std::map<std::string, FloorEntry, std::less<>> &entries() const noexcept
    {
        return entries_;
    }

    [[nodiscard]] bool operator==(const SessionFloor &) const = default;

private:
    std::map<std::string, FloorEntry, std::less<>> entries_;
};

} // namespace hyssoprock
