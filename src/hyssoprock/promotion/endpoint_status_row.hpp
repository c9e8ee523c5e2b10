#pragma once

#include <cstdint>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief What an endpoint reports about itself on request.

namespace hyssoprock {

/// @brief What the control leader orders an endpoint to do; each is answered with a status row.
enum class EndpointOperation : std::uint8_t {
    Status,   ///< Only report.
    Pause,    ///< A replica stops receiving.
    Resume,   ///< A replica receives again.
    StepDown, ///< A primary of a lower term becomes a replica.
};

/// @brief Answer of an endpoint to an order.
struct EndpointStatusRow
{
    EndpointRole role = EndpointRole::Replica; ///< Role.
    std::uint64_t term = 0;                    ///< Term that it knows.
    LogPosition received;                      ///< End of its log.
    std::uint64_t termHeld = 0;                ///< Term of the pause that it is under; 0 for none.
    Duration lag{};                            ///< Age of what its reads see.
    std::uint32_t busy = 0;                    ///< Slots in use.
    std::uint32_t connections = 0;             ///< Open connections.

    [[nodiscard]] bool operator==(const EndpointStatusRow &) const = default;
};

} // namespace hyssoprock
