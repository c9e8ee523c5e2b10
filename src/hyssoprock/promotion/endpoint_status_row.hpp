#pragma once

#include <cstdint>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief What an endpoint reports about itself on request.

namespace hyssoprock {

/// @brief Answer of an endpoint to a status command.
struct EndpointStatusRow
{
    EndpointRole role = EndpointRole::Replica; ///< Role.
    std::uint64_t term = 0;                    ///< Term that it knows.
    LogPosition received;                      ///< End of its log.
    std::uint64_t termHeld = 0;                ///< Term in which it was primary last; 0 for none.
    Duration lag{};                            ///< Age of what its reads see.
    std::uint32_t busy = 0;                    ///< Slots in use.
    std::uint32_t connections = 0;             ///< Open connections.

    [[nodiscard]] bool operator==(const EndpointStatusRow &) const = default;
};

} // namespace hyssoprock
