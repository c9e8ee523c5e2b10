#pragma once

#include <string_view>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Which changes the catalogue accepts. Each check has no effect of its own.

namespace hyssoprock {

/// @brief Most instances that a group may declare.
inline constexpr std::uint32_t instancesMax = 15;

/// @brief Longest name of a group, endpoint, record kind or change, in bytes.
inline constexpr std::size_t nameBytesMax = 128;

/// @brief Whether a text is a name: letters, digits, '_', '-' and '.', within the length limit.
/// Names are written into statements to endpoints, so quotes and separators are not allowed.
/// @param name Any text.
/// @return Whether it is one.
[[nodiscard]] bool isName(std::string_view name) noexcept;

/// @brief Checks the declaration of a group.
/// @param body The change.
/// @return Nothing, or the reason against it.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const DeclareGroup &body);

/// @brief Checks the rule of a record kind against the rule before it. A version may be dropped
/// only when the rule before no longer allowed to write it.
/// @param body The change.
/// @return Nothing, or the reason against it.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const DeclareRecordKind &body);

/// @brief Checks the removal of a record kind; none of its versions may be writable.
/// @param body The change.
/// @return Nothing, or the reason against it.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const RemoveRecordKind &body);

/// @brief Checks a planned stop; a majority of the group's voters must stay in service.
/// @param body The change.
/// @return Nothing, or the reason against it.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const PlanStop &body);

/// @brief Checks that there is a planned stop to take back.
/// @param body The change.
/// @return Nothing, or the reason against it.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const CancelStop &body);

/// @brief Checks an announcement: known group, usable names, not older than the known one.
/// @param announcement The announcement.
/// @return Nothing, or the reason against it.
[[nodiscard]] Result<void> checkAnnouncement(const Catalog &catalog,
                                             const Announcement &announcement);

} // namespace hyssoprock
