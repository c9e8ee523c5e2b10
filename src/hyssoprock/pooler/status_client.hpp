#pragma once

#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief An operator's question for the status of a pooled deployment.

namespace hyssoprock {

/// @brief Asks control hosts until one answers; the leader if it can be reached. Blocks.
///
/// The leader of the answer is asked at the same port: control hosts all use the same internal
/// port.
/// @param hosts Internal addresses of control hosts, not empty.
/// @param operatorName Name for the handshake.
/// @param timeout Time for each host; longer than endpoints are given to answer the control host.
/// @return The status, of a host that does not lead if no leader answers; Unreachable if nobody
/// answers, or what the last host refused the request for.
[[nodiscard]] Result<PooledStatusResponse>
requestPooledStatus(const std::vector<SocketAddress> &hosts, const std::string &operatorName,
                    Duration timeout);

} // namespace hyssoprock
