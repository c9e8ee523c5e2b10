#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/http_server.hpp>

/// @file
/// @brief Answers readiness probes of an entry host.

namespace hyssoprock {

/// @brief HTTP server with one path: 200 if callers can be served, else 503; 404 elsewhere.
class ReadinessServer
{
public:
    /// @brief Does nothing until open().
    /// @param context I/O context.
    /// @param path Path that is answered.
    /// @param ready Whether callers can be served; called for each probe.
    ReadinessServer(boost::asio::io_context &context, std::string path,
                    std::function<bool()> ready);

    /// @brief Listens.
    /// @param address Where; port 0 picks a free one.
    /// @return The address with the real port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address);

private:
    [[nodiscard]] HttpResponse answer(const HttpRequest &request) const;

    std::string path_;
    std::function<bool()> ready_;
    HttpServer server_;
};

} // namespace hyssoprock
