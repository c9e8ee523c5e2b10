#include <hyssoprock/pooler/readiness_server.hpp>

#include <string_view>
#include <utility>

namespace hyssoprock {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
// Probes are rare; few connections suffice and bound the memory.
constexpr std::size_t connectionsMost = 16;

HttpServerLimits probeLimits()
{
    HttpServerLimits limits;
    limits.connectionsMax = connectionsMost;
    return limits;
}

} // namespace

ReadinessServer::ReadinessServer(boost::asio::io_context &context, std::string path,
                                 std::function<bool()> ready)
    : path_{std::move(path)}
    , ready_{std::move(ready)}
    , server_{context, probeLimits()}
{}

Result<SocketAddress> ReadinessServer::open(const SocketAddress &address)
{
    return server_.open(address,
                        [this](const HttpRequest &request, const HttpServer::Reply &reply) {
                            reply(answer(request));
                        });
}

HttpResponse ReadinessServer::answer(const HttpRequest &request) const
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
