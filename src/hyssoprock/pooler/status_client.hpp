#pragma once

#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief Client for the status of a pooled deployment.

namespace hyssoprock {

/// @brief Requests the status from control hosts until one answers, preferably the leader. Blocks.
///
/// A leader named in a response is contacted at the same port, since all control hosts use the same
/// internal port.
/// @param hosts Internal addresses of control hosts; must not be empty.
/// @param operatorName Process name for the handshake.
/// @param timeout Timeout per host; must exceed the time that a control host waits for its
/// endpoints.
/// @return The leader's status, or that of another host if no leader answers; Unreachable if no
/// host answers, or the error of the last refusal.
[[nodiscard]] Result<PooledStatusResponse>
requestPooledStatus(const std::vector<SocketAddress> &hosts, const std::string &operatorName,
                    Duration timeout);

} // namespace hyssoprock
