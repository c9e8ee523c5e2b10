#pragma once

#include <string>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Position of a primary that another process has requested.

namespace hyssoprock {

/// @brief Position that covers every commit of the service that was acknowledged before a time.
struct PositionSample
{
    std::string service;  ///< Service.
    std::string endpoint; ///< Endpoint that proved to be the primary when it reported the position.
    LogPosition position; ///< End of its log.
    Instant sentAt;       ///< Not later than the request to the endpoint, on this host's clock.

    [[nodiscard]] bool operator==(const PositionSample &) const = default;
};

} // namespace hyssoprock
