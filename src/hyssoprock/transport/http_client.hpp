#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>

/// @file
/// @brief HTTP/1.1 client for single POST requests.

namespace hyssoprock {

/// @brief Header of a request.
struct HttpHeader
{
    std::string name{};  ///< Name.
    std::string value{}; ///< Value.

    [[nodiscard]] bool operator==(const HttpHeader &) const = default;
};

/// @brief POST request.
struct HttpCall
{
    SocketAddress address{};           ///< Address of the server.
    std::string target{};              ///< Path and query.
    std::vector<HttpHeader> headers{}; ///< Headers besides Host, Content-Type and Content-Length.
    std::string body{};                ///< JSON body.
    Duration timeout{};                ///< Time limit for the whole call.
    Duration connectTimeout{};         ///< Time limit for connecting; zero: only `timeout`.

    [[nodiscard]] bool operator==(const HttpCall &) const = default;
};

/// @brief Response to a call.
struct HttpCallResponse
{
    unsigned status = 0; ///< Status code.
    std::string body{};  ///< Body.

    [[nodiscard]] bool operator==(const HttpCallResponse &) const = default;
};

/// @brief Sends each call on its own connection. Not thread-safe: use on one I/O thread.
class HttpClient
{
public:
    /// @brief Receives the response or one of these errors: InvalidValue, Unreachable or
    /// DeadlineExceeded (the call was not sent); OutcomeUnknown (the call was sent and may be
    /// executed, but no complete response was received in time).
    using ResponseCallback = std::function<void(Result<HttpCallResponse>)>;

    /// @param context I/O context; outlives the client.
    explicit HttpClient(boost::asio::io_context &context);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /// @brief Drops the pending calls without calling their callbacks.
    ~HttpClient();

    /// @brief Starts a call. Several calls may be pending at the same time.
    /// @param call Call to send.
    /// @param callback Called once, on the I/O thread, after this function has returned.
    void post(HttpCall call, ResponseCallback callback);

private:
    class Exchange;

    boost::asio::io_context &context_;
    /// Asynchronous callbacks hold a weak reference, so that none runs after destruction.
    std::shared_ptr<HttpClient *> alive_;
};

} // namespace hyssoprock
