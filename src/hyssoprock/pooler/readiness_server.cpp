#include <hyssoprock/pooler/readiness_server.hpp>

#include <string_view>
#include <utility>

namespace hyssoprock {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
// Probes are rare, so a few connections suffice; the limit bounds the memory.
constexpr std::size_t connectionsMax = 16;

HttpServerLimits serverLimits()
{
    HttpServerLimits limits;
    limits.connectionsMax = connectionsMax;
    return limits;
}

} // namespace

ReadinessServer::ReadinessServer(boost::asio::io_context &context, std::string path,
                                 std::function<bool()> ready)
    : path_{std::move(path)}
    , ready_{std::move(ready)}
    , server_{context, serverLimits()}
{}

Result<SocketAddress> ReadinessServer::open(const SocketAddress &address)
{
    return server_.open(address,
                        [this](const HttpRequest &request, const HttpServer::Reply &reply) {
                            reply(handleRequest(request));
                        });
}

HttpResponse ReadinessServer::handleRequest(const HttpRequest &request) const
{
    HttpResponse response;
    const std::string_view target{request.target};
    if (target.substr(0, target.find('?')) != path_) {
        response.status = statusNotFound;
    } else {
        response.status = ready_() ? statusOk : statusUnavailable;
    }
    return response;
}

} // namespace hyssoprock
