#pragma once

#include <cstdint>
#include <string_view>

#include <hyssoprock/core/log_position.hpp>

/// @file
/// @brief Status that an endpoint reports with each answer.

namespace hyssoprock {

/// @brief Role that an endpoint reports.
enum class EndpointRole : std::uint8_t {
    Unknown, ///< Not reported, or an unknown value.
    Primary, ///< Accepts writes.
    Replica, ///< Replicates from a primary.
    Fenced,  ///< A former primary that is not a replica yet; the end of its log may diverge.
};

/// @brief Parses the value of `hyssoprock.role`.
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
/// The position is that of the snapshot for a read and that of the commit record for a commit.
struct EndpointReport
{
    LogPosition position{};          ///< `hyssoprock.term` (of the entry) and `hyssoprock.index`.
    std::uint64_t majorityIndex = 0; ///< `hyssoprock.majority_index`, in the position's term.
    EndpointRole role = EndpointRole::Unknown; ///< `hyssoprock.role`.

    [[nodiscard]] bool operator==(const EndpointReport &) const = default;
};

} // namespace hyssoprock
