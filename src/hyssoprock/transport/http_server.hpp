#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief Serves HTTP/1.1 on one I/O thread.

namespace hyssoprock {

/// @brief A complete request.
struct HttpRequest
{
    std::string method{}; ///< For example "POST".
    std::string target{}; ///< Path and query as received.
    std::string body{};   ///< Body; empty if there is none.

    [[nodiscard]] bool operator==(const HttpRequest &) const = default;
};

/// @brief Answer to a request.
struct HttpResponse
{
    unsigned status = 200;                       ///< Status code.
    std::string body{};                          ///< Body.
    std::string contentType{"application/json"}; ///< Type of the body.
    std::string location{};                      ///< Location header; none if empty.

    [[nodiscard]] bool operator==(const HttpResponse &) const = default;
};

/// @brief Bounds of a server.
struct HttpServerLimits
{
    std::size_t bodyBytesMax = 0;                     ///< Larger bodies get 413.
    std::size_t connectionsMax = 256;                 ///< Further ones are closed at once.
    Duration idleTimeout = std::chrono::seconds{60};  ///< Wait for a request to begin.
    Duration readTimeout = std::chrono::seconds{10};  ///< From its first byte to its end.
    Duration writeTimeout = std::chrono::seconds{10}; ///< For one answer.
};

/// @brief Accepts connections and passes requests to a handler, one at a time on each connection.
class HttpServer
{
public:
    /// @brief Answers a request. May be called later, once, on the I/O thread; has no effect if the
    /// connection has ended or the server is gone. Dropping it uncalled closes the connection.
    using Reply = std::function<void(HttpResponse)>;
    /// @brief Called for each request, on the I/O thread.
    using Handler = std::function<void(HttpRequest, Reply)>;

    /// @brief Does nothing until open().
    /// @param context I/O context; outlives the server.
    /// @param limits Bounds.
    HttpServer(boost::asio::io_context &context, const HttpServerLimits &limits);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /// @brief Listens.
    /// @param address Where; port 0 picks a free one.
    /// @param handler Gets each request that is well-formed.
    /// @return The address with the real port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address, Handler handler);

    /// @brief Accepts no more and closes every connection; the handler is not called any more.
    void close();

    /// @brief Connections that are open.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class Session;
    struct Shared;

    TcpListener listener_;
    std::shared_ptr<Shared> shared_;
};

} // namespace hyssoprock
