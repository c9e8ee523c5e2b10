#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief Client for operator requests to the control group.

namespace hyssoprock {

/// @brief Sends requests to the leader, which is found by trying the control hosts.
///
/// Calls are blocking; intended for command-line tools. A request whose answer was lost is sent
/// again unchanged, so a configuration change must have the same change id in each attempt.
class OperatorClient
{
public:
    /// @param hosts Control hosts; names may be empty.
    /// @param operatorName Name for the handshake.
    /// @param timeout Total time for a request.
    OperatorClient(std::vector<NamedAddress> hosts, std::string operatorName, Duration timeout);

    /// @brief Changes the configuration or the control group.
    /// @return The answer of the leader, or Unreachable if none was received in time.
    [[nodiscard]] Result<OperatorResponse> change(const OperatorRequest &request);

    /// @brief Requests the state of the system.
    /// @param group Name of the group; empty for all groups.
    /// @return The answer of the leader, or Unreachable if none was received in time.
    [[nodiscard]] Result<StatusResponse> status(const std::string &group);

private:
    template <class Response, class Request>
    [[nodiscard]] Result<Response> send(const Request &request);
    void selectHost(const std::string &leader);

    std::vector<NamedAddress> hosts_;
    std::string operatorName_;
    Duration timeout_;
    std::size_t current_ = 0;
};

} // namespace hyssoprock
