#include <hyssoprock/transport/http_client.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace hyssoprock {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned httpVersion = 11;
constexpr std::uint64_t responseBytesMax = std::uint64_t{1024} * 1024;

/// Whether a text holds no line break or NUL, which would allow header injection.
bool isOneLine(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char byte) { return byte == '\r' || byte == '\n' || byte == '\0'; });
}

} // namespace

class HttpClient::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(boost::asio::io_context &context, std::weak_ptr<HttpClient *> client,
             ResponseCallback callback)
        : stream_{context}
        , client_{std::move(client)}
        , callback_{std::move(callback)}
    {
        parser_.body_limit(responseBytesMax);
    }

    void start(HttpCall call)
    {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address(call.address.ip, error);
        const bool valid =
            !error && !call.target.empty() && isOneLine(call.target)
            && call.target.find(' ') == std::string::npos
            && std::all_of(call.headers.begin(), call.headers.end(), [](const HttpHeader &header) {
                   return !header.name.empty() && isOneLine(header.name) && isOneLine(header.value);
               });
        if (!valid) {
            boost::asio::post(stream_.get_executor(), [self = shared_from_this()] {
                self->finish(failure(ErrorKind::InvalidValue, "the call cannot be written"));
            });
            return;
        }
        request_.version(httpVersion);
        request_.method(http::verb::post);
        request_.target(call.target);
        request_.set(http::field::host, toString(call.address));
        request_.set(http::field::content_type, "application/json");
        for (const auto &header : call.headers) {
            request_.set(header.name, header.value);
        }
        request_.keep_alive(false);
        request_.body() = std::move(call.body);
        request_.prepare_payload();
        // One deadline for all operations of the call.
        deadline_ = std::chrono::steady_clock::now() + call.timeout;
        stream_.expires_after(call.connectTimeout > Duration::zero()
                                  ? std::min(call.connectTimeout, call.timeout)
                                  : call.timeout);
        stream_.async_connect(boost::asio::ip::tcp::endpoint{ip, call.address.port},
                              [self = shared_from_this()](const beast::error_code &failed) {
                                  self->handleConnected(failed);
                              });
    }

private:
    void handleConnected(const beast::error_code &error)
    {
        if (error) {
            finish(failure(error == beast::error::timeout ? ErrorKind::DeadlineExceeded
                                                          : ErrorKind::Unreachable,
                           error.message()));
            return;
        }
        if (client_.expired()) {
            return;
        }
        boost::system::error_code ignored;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
        stream_.expires_at(deadline_);
        http::async_write(stream_, request_,
                          [self = shared_from_this()](const beast::error_code &failed,
                                                      std::size_t) { self->handleSent(failed); });
    }

    void handleSent(const beast::error_code &error)
    {
        if (error) {
            finish(failure(ErrorKind::OutcomeUnknown, error.message()));
            return;
        }
        http::async_read(stream_, buffer_, parser_,
                         [self = shared_from_this()](const beast::error_code &failed, std::size_t) {
                             self->handleReceived(failed);
                         });
    }

    void handleReceived(const beast::error_code &error)
    {
        if (error) {
            finish(failure(ErrorKind::OutcomeUnknown, error.message()));
            return;
        }
        auto message = parser_.release();
        finish(HttpCallResponse{message.result_int(), std::move(message.body())});
    }

    void finish(Result<HttpCallResponse> result)
    {
        stream_.close();
        if (!client_.expired()) {
            callback_(std::move(result));
        }
    }

    beast::tcp_stream stream_;
    std::chrono::steady_clock::time_point deadline_{}; ///< End of the whole call.
    std::weak_ptr<HttpClient *> client_;
    ResponseCallback callback_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
};

HttpClient::HttpClient(boost::asio::io_context &context)
    : context_{context}
    , alive_{std::make_shared<HttpClient *>(this)}
{}

HttpClient::~HttpClient() = default;

void HttpClient::post(HttpCall call, ResponseCallback callback)
{
    std::make_shared<Exchange>(context_, alive_, std::move(callback))->start(std::move(call));
}

} // namespace hyssoprock
