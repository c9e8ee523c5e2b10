#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/http_server.hpp>

/// @file
/// @brief HTTP server for readiness probes of an entry host.

namespace hyssoprock {

/// @brief Returns 200 or 503 on one path depending on readiness, and 404 elsewhere.
class ReadinessServer
{
public:
    /// @param path Path of the probe.
    /// @param ready Returns whether callers can be served; called for each probe.
    ReadinessServer(boost::asio::io_context &context, std::string path,
                    std::function<bool()> ready);

    /// @brief Starts listening.
    /// @param address Port 0 selects a free port.
    /// @return The bound address, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address);

private:
    [[nodiscard]] HttpResponse handleRequest(const HttpRequest &request) const;

    std::string path_;
    std::function<bool()> ready_;
    HttpServer server_;
};

} // namespace hyssoprock
