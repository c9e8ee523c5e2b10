#pragma once

#include <cstdint>
#include <string_view>

#include <hyssoprock/core/log_position.hpp>

/// @file
/// @brief What an endpoint says of itself with each answer.

namespace hyssoprock {

/// @brief Role that an endpoint states.
enum class EndpointRole : std::uint8_t {
    Unknown, ///< Not stated or not understood.
    Primary, ///< Accepts writes.
    Replica, ///< Follows a primary.
    Fenced,  ///< A former primary that follows nobody yet; its tail may be divergent.
};

/// @brief Reads the value of `hyssoprock.role`.
/// @param text "primary", "replica" or "fenced"; anything else is Unknown.
[[nodiscard]] constexpr EndpointRole parseEndpointRole(std::string_view text) noexcept
{
    if (text == "primary") {
        return EndpointRole::Primary;
    }
    if (text == "replica") {
        return EndpointRole::Replica;
    }
    return text == "fenced" ? EndpointRole::Fenced : EndpointRole::Unknown;
}

/// @brief The ParameterStatus values that come with an answer.
///
/// For a read the position is that of the snapshot; for a commit it is that of the commit.
struct EndpointReport
{
    LogPosition position{};          ///< `hyssoprock.term` (of the entry) and `hyssoprock.index`.
    std::uint64_t majorityIndex = 0; ///< `hyssoprock.majority_index`, in the position's term.
    EndpointRole role = EndpointRole::Unknown; ///< `hyssoprock.role`.

    [[nodiscard]] bool operator==(const EndpointReport &) const = default;
};

} // namespace hyssoprock
