#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief HTTP/1.1 server on one I/O thread.

namespace hyssoprock {

/// @brief Request with its complete body.
struct HttpRequest
{
    std::string method{}; ///< For example "POST".
    std::string target{}; ///< Path and query as received.
    std::string body{};   ///< Body; empty if none was sent.

    [[nodiscard]] bool operator==(const HttpRequest &) const = default;
};

/// @brief Response to a request.
struct HttpResponse
{
    unsigned status = 200;                       ///< Status code.
    std::string body{};                          ///< Body.
    std::string contentType{"application/json"}; ///< Media type of the body.
    std::string location{};                      ///< Location header; omitted if empty.

    [[nodiscard]] bool operator==(const HttpResponse &) const = default;
};

/// @brief Limits of a server.
struct HttpServerLimits
{
    std::size_t bodyBytesMax = 0;     ///< Larger bodies are rejected with status 413.
    std::size_t connectionsMax = 256; ///< Further connections are closed immediately.
    /// Bodies above 4 KiB that are being received, together; beyond it a request is answered with
    /// 503. At least bodyBytesMax.
    std::size_t pendingBytesMax = std::size_t{64} * 1024 * 1024;
    Duration idleTimeout =
        std::chrono::seconds{60}; ///< Time limit for the first byte of a request.
    Duration readTimeout = std::chrono::seconds{10};  ///< Time limit for receiving a request.
    Duration writeTimeout = std::chrono::seconds{10}; ///< Time limit for writing a response.
};

/// @brief Passes requests to a handler, one at a time for each connection.
class HttpServer
{
public:
    /// @brief Sends the response. May be called asynchronously, once, on the I/O thread; has no
    /// effect if the connection is closed or the server is destroyed. Destroying all copies without
    /// a call closes the connection.
    using Reply = std::function<void(HttpResponse)>;
    /// @brief Called for each request, on the I/O thread.
    using Handler = std::function<void(HttpRequest, Reply)>;

    /// @param context I/O context; outlives the server.
    /// @param limits Limits.
    HttpServer(boost::asio::io_context &context, const HttpServerLimits &limits);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /// @brief Starts listening.
    /// @param address Address to bind; port 0 selects a free port.
    /// @param handler Receives each well-formed request.
    /// @return The address with the bound port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> open(const SocketAddress &address, Handler handler);

    /// @brief Stops listening and closes all connections; the handler is not called any more.
    void close();

    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connectionCount() const noexcept;

    /// @brief Requests refused since the start, because of pendingBytesMax.
    [[nodiscard]] std::uint64_t refusedRequests() const noexcept;

private:
    class Session;
    struct Shared;

    TcpListener listener_;
    std::shared_ptr<Shared> shared_;
};

} // namespace hyssoprock
