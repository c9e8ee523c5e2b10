#pragma once

#include <string_view>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Validation of changes of the catalogue. The checks change no state.

namespace hyssoprock {

/// @brief Maximum number of instances of a group.
inline constexpr std::uint32_t instancesMax = 15;

/// @brief Maximum length of the name of a group, endpoint, record kind or change, in bytes.
inline constexpr std::size_t nameBytesMax = 128;

/// @brief Whether a name has only letters, digits, '_', '-' and '.' and is not empty or too long.
/// Names are inserted into statements to endpoints, so quotes and separators are not allowed.
/// @param name Name to check.
[[nodiscard]] bool isValidName(std::string_view name) noexcept;

/// @brief Checks the declaration of a group.
/// @param body The change.
/// @return The reason for a rejection, if any.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const DeclareGroup &body);

/// @brief Checks the rule of a record kind against its previous rule. A version may be removed only
/// if the previous rule no longer allowed writing it.
/// @param body The change.
/// @return The reason for a rejection, if any.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const DeclareRecordKind &body);

/// @brief Checks the removal of a record kind, none of whose versions may be writable.
/// @param body The change.
/// @return The reason for a rejection, if any.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const RemoveRecordKind &body);

/// @brief Checks a planned stop, which must leave a majority of the group's voters in service.
/// @param body The change.
/// @return The reason for a rejection, if any.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const PlanStop &body);

/// @brief Checks that there is a planned stop to cancel.
/// @param body The change.
/// @return The reason for a rejection, if any.
[[nodiscard]] Result<void> checkChange(const Catalog &catalog, const CancelStop &body);

/// @brief Checks an announcement: known group, valid names, newer than the known announcement.
/// @param announcement The announcement.
/// @return The reason for a rejection, if any.
[[nodiscard]] Result<void> checkAnnouncement(const Catalog &catalog,
                                             const Announcement &announcement);

} // namespace hyssoprock
