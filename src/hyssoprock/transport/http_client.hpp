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
/// @brief Single HTTP calls.

namespace hyssoprock {

/// @brief One header of a call.
struct HttpHeader
{
    std::string name{};  ///< Name.
    std::string value{}; ///< Value.

    [[nodiscard]] bool operator==(const HttpHeader &) const = default;
};

/// @brief A POST.
struct HttpCall
{
    SocketAddress address{};           ///< Where to.
    std::string target{};              ///< Path and query.
    std::vector<HttpHeader> headers{}; ///< Headers besides Host, Content-Type and Content-Length.
    std::string body{};                ///< Body, JSON.
    Duration timeout{};                ///< Longest time for the whole call.

    [[nodiscard]] bool operator==(const HttpCall &) const = default;
};

/// @brief Answer to a call.
struct HttpAnswer
{
    unsigned status = 0; ///< Status code.
    std::string body{};  ///< Body.

    [[nodiscard]] bool operator==(const HttpAnswer &) const = default;
};

/// @brief Makes calls, each on a connection of its own. Used on one I/O thread.
class HttpClient
{
public:
    /// @brief Gets the answer, or one of these errors: InvalidValue, Unreachable or
    /// DeadlineExceeded (the call was not sent); OutcomeUnknown (it was sent, and may be executed,
    /// but no complete answer came in time).
    using Answered = std::function<void(Result<HttpAnswer>)>;

    /// @brief Starts without calls.
    /// @param context I/O context; outlives the client.
    explicit HttpClient(boost::asio::io_context &context);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /// @brief Drops the calls under way; their callbacks are not called.
    ~HttpClient();

    /// @brief Starts a call. Several may be under way.
    /// @param call The call.
    /// @param answered Called once, on the I/O thread, after this function has returned.
    void post(HttpCall call, Answered answered);

private:
    class Exchange;

    boost::asio::io_context &context_;
    /// Callbacks of the event loop hold a weak reference, so that none runs after destruction.
    std::shared_ptr<HttpClient *> alive_;
};

} // namespace hyssoprock
