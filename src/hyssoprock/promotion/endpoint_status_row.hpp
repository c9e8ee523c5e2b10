#pragma once

#include <cstdint>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Status that an endpoint reports about itself.

namespace hyssoprock {

/// @brief Operation that the control leader requests from an endpoint. The endpoint answers each
/// one with a status row.
enum class EndpointOperation : std::uint8_t {
    Status,   ///< Reports the status only.
    Pause,    ///< Stops a replica from receiving replicated entries.
    Resume,   ///< Lets a paused replica receive again.
    StepDown, ///< Demotes a primary of a lower term to replica.
};

/// @brief Answer of an endpoint to an operation.
struct EndpointStatusRow
{
    EndpointRole role = EndpointRole::Replica;
    std::uint64_t term = 0;        ///< Highest term known to the endpoint.
    LogPosition received;          ///< End of its log.
    std::uint64_t termHeld = 0;    ///< Term of the pause in effect; 0 if it is not paused.
    Duration lag{};                ///< Age of the data that its reads see.
    std::uint32_t busy = 0;        ///< Number of slots in use.
    std::uint32_t connections = 0; ///< Number of open connections.

    [[nodiscard]] bool operator==(const EndpointStatusRow &) const = default;
};

} // namespace hyssoprock
