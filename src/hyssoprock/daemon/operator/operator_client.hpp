#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief Requests of an operator to the control group.

namespace hyssoprock {

/// @brief Sends requests to the leader, which it finds by trying the control hosts.
///
/// Blocks; meant for a command-line tool. A request whose answer was lost is sent again unchanged,
/// so a configuration change must carry the same change id each time.
class OperatorClient
{
public:
    /// @brief Connects to nothing yet.
    /// @param hosts Control hosts; names may be empty.
    /// @param operatorName Name for the handshake.
    /// @param timeout Time after which a request is given up.
    OperatorClient(std::vector<NamedAddress> hosts, std::string operatorName, Duration timeout);

    /// @brief Changes the configuration or the control group.
    /// @param request The change.
    /// @return The leader's answer, or Unreachable if none came in time.
    [[nodiscard]] Result<OperatorResponse> change(const OperatorRequest &request);

    /// @brief Asks for the state of the system.
    /// @param group Only this group; empty for all.
    /// @return The leader's answer, or Unreachable if none came in time.
    [[nodiscard]] Result<StatusResponse> status(const std::string &group);

private:
    template <class Response, class Request>
    [[nodiscard]] Result<Response> ask(const Request &request);
    void goTo(const std::string &leader);

    std::vector<NamedAddress> hosts_;
    std::string operatorName_;
    Duration timeout_;
    std::size_t current_ = 0;
};

} // namespace hyssoprock
