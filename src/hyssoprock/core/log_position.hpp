#pragma once

#include <compare>
#include <cstdint>
#include <string>

/// @file
/// @brief Position in a replicated log.

namespace hyssoprock {

/// @brief Term and index of a log entry.
///
/// Positions compare by term first. The term is that of the entry at the index, so a log whose last
/// entry has a higher term holds every acknowledged entry of lower terms.
struct LogPosition
{
    std::uint64_t term = 0;  ///< Term of the entry.
    std::uint64_t index = 0; ///< Index of the entry; 0 is before the first.

    // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    [[nodiscard]] auto operator<=>(const LogPosition &) const noexcept = default;
};

/// @brief Formats a position for log lines.
/// @param position Any position.
/// @return "term/index".
[[nodiscard]] inline std::string toString(const LogPosition &position)
{
    return std::to_string(position.term) + "/" + std::to_string(position.index);
}

/// @brief Serialises a position with a cereal archive.
template <class Archive>
void serialize(Archive &archive, LogPosition &position)
{
    archive(position.term, position.index);
}

} // namespace hyssoprock
