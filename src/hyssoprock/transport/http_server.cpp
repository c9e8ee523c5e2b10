#include <hyssoprock/transport/http_server.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace hyssoprock {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint32_t headerBytesMax = 16384;
/// Bodies up to this size, such as heartbeats, are received whatever else is pending.
constexpr std::size_t ordinaryBodyBytes = 4096;
constexpr std::size_t readChunkBytes = 4096;
constexpr unsigned httpVersion = 11;
/// Before closing, the server reads and discards further input for a limited time: closing a socket
/// with unread data resets the connection, and the peer could lose the response.
constexpr std::chrono::seconds drainTimeout{1};
constexpr std::size_t drainBytesMax = std::size_t{4} * 1024 * 1024;

} // namespace

struct HttpServer::Shared
{
    HttpServerLimits limits;
    Handler handler;
    /// The server owns the sessions; pending asynchronous callbacks extend their lifetime.
    std::unordered_map<Session *, std::shared_ptr<Session>> sessions;
    std::size_t pendingBytes = 0; ///< Sum of Session::reservedBytes_.
    std::uint64_t refusedRequests = 0;
    bool closed = false;
};

class HttpServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(boost::asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
        : stream_{std::move(socket)}
        , shared_{std::move(shared)}
    {
        boost::system::error_code ignored;
        stream_.socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    }

    void waitForRequest()
    {
        if (buffer_.size() > 0) {
            readHeader();
            return;
        }
        stream_.expires_after(shared_->limits.idleTimeout);
        stream_.async_read_some(
            buffer_.prepare(readChunkBytes),
            [self = shared_from_this()](const beast::error_code &error, std::size_t bytes) {
                if (self->closed_ || error) {
                    self->close();
                    return;
                }
                self->buffer_.commit(bytes);
                self->readHeader();
            });
    }

    void reply(std::uint64_t requestId, HttpResponse response)
    {
        if (closed_ || requestId != pendingRequestId_) {
            return;
        }
        pendingRequestId_ = 0;
        send(std::move(response), keepAlive_);
    }

    /// Closes the connection if all copies of a reply were destroyed without a response.
    void handleDroppedReply(std::uint64_t requestId)
    {
        if (requestId == pendingRequestId_) {
            close();
        }
    }

    void close()
    {
        if (std::exchange(closed_, true)) {
            return;
        }
        releaseBytes();
        beast::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        stream_.close();
        shared_->sessions.erase(this);
    }

private:
    /// Notifies the session when the last copy of a reply is destroyed.
    struct ReplyGuard
    {
        std::weak_ptr<Session> session;
        std::uint64_t requestId;

        ReplyGuard(std::weak_ptr<Session> owner, std::uint64_t number)
            : session{std::move(owner)}
            , requestId{number}
        {}
        ReplyGuard(const ReplyGuard &) = delete;
        ReplyGuard &operator=(const ReplyGuard &) = delete;
        ~ReplyGuard()
        {
            if (const auto owner = session.lock()) {
                owner->handleDroppedReply(requestId);
            }
        }
    };

    void readHeader()
    {
        parser_.emplace();
        parser_->header_limit(headerBytesMax);
        parser_->body_limit(shared_->limits.bodyBytesMax);
        stream_.expires_after(shared_->limits.readTimeout);
        http::async_read_header(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                if (!self->handleReadError(error)) {
                    self->handleHeader();
                }
            });
    }

    void releaseBytes() { shared_->pendingBytes -= std::exchange(reservedBytes_, 0); }

    /// Reserves memory for the announced body; one of unknown size may have any allowed size.
    /// @return Whether the body may be received.
    bool reserveBytes()
    {
        const auto announced = parser_->content_length();
        const auto bytes =
            announced ? static_cast<std::size_t>(*announced)
                      : (parser_->chunked() ? shared_->limits.bodyBytesMax : std::size_t{0});
        if (bytes <= ordinaryBodyBytes) {
            return true;
        }
        if (shared_->pendingBytes + bytes > shared_->limits.pendingBytesMax) {
            ++shared_->refusedRequests;
            return false;
        }
        shared_->pendingBytes += bytes;
        reservedBytes_ = bytes;
        return true;
    }

    void handleHeader()
    {
        if (!reserveBytes()) {
            isHead_ = false;
            HttpResponse response;
            response.status = 503;
            response.contentType = "text/plain";
            response.body = "too many requests are being received\n";
            send(std::move(response), false);
            return;
        }
        // Without an interim response, such a client delays its body by about a second.
        if (!parser_->is_done() && parser_->get().version() == httpVersion
            && beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
            continue_.emplace(http::status::continue_, httpVersion);
            http::async_write(
                stream_, *continue_,
                [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                    if (self->closed_ || error) {
                        self->close();
                    } else {
                        self->readBody();
                    }
                });
            return;
        }
        readBody();
    }

    void readBody()
    {
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](const beast::error_code &error, std::size_t) {
                             if (!self->handleReadError(error)) {
                                 self->handleRequest();
                             }
                         });
    }

    /// Closes the connection, or responds with an error status if the request is malformed.
    /// @return Whether reading has failed.
    bool handleReadError(const beast::error_code &error)
    {
        if (closed_) {
            return true;
        }
        if (!error) {
            return false;
        }
        const bool malformed =
            error.category() == make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        if (!malformed) {
            close();
            return true;
        }
        releaseBytes();
        isHead_ = false;
        HttpResponse response;
        response.status = error == http::error::body_limit ? 413 : 400;
        response.contentType = "text/plain";
        response.body = error.message() + "\n";
        send(std::move(response), false);
        return true;
    }

    void handleRequest()
    {
        stream_.expires_never();
        auto message = parser_->release();
        parser_.reset();
        releaseBytes();
        keepAlive_ = message.keep_alive();
        isHead_ = message.method() == http::verb::head;
        pendingRequestId_ = ++requestCount_;
        HttpRequest request{std::string{message.method_string()}, std::string{message.target()},
                            std::move(message.body())};
        // Keeps the shared state alive, because the handler may destroy the server.
        const auto shared = shared_;
        shared->handler(std::move(request),
                        [guard = std::make_shared<ReplyGuard>(weak_from_this(), pendingRequestId_)](
                            HttpResponse response) {
                            if (const auto session = guard->session.lock()) {
                                session->reply(guard->requestId, std::move(response));
                            }
                        });
    }

    void send(HttpResponse response, bool keepAlive)
    {
        response_.emplace();
        response_->version(httpVersion);
        response_->result(response.status);
        if (!response.contentType.empty()) {
            response_->set(http::field::content_type, response.contentType);
        }
        if (!response.location.empty()) {
            response_->set(http::field::location, response.location);
        }
        response_->keep_alive(keepAlive);
        const auto bodyBytes = response.body.size();
        if (!isHead_) {
            response_->body() = std::move(response.body);
        }
        response_->content_length(bodyBytes);
        stream_.expires_after(shared_->limits.writeTimeout);
        http::async_write(
            stream_, *response_,
            [self = shared_from_this(), keepAlive](const beast::error_code &error, std::size_t) {
                self->response_.reset();
                if (self->closed_ || error) {
                    self->close();
                } else if (keepAlive) {
                    self->waitForRequest();
                } else {
                    self->startDrain();
                }
            });
    }

    void startDrain()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        stream_.expires_after(drainTimeout);
        drain();
    }

    void drain()
    {
        stream_.async_read_some(
            boost::asio::buffer(drainBuffer_),
            [self = shared_from_this()](const beast::error_code &error, std::size_t bytes) {
                self->drainedBytes_ += bytes;
                if (self->closed_ || error || self->drainedBytes_ > drainBytesMax) {
                    self->close();
                } else {
                    self->drain();
                }
            });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<Shared> shared_;
    beast::flat_buffer buffer_{headerBytesMax + readChunkBytes};
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<http::response<http::empty_body>> continue_;
    std::optional<http::response<http::string_body>> response_;
    std::array<char, readChunkBytes> drainBuffer_{};
    std::size_t drainedBytes_ = 0;
    std::size_t reservedBytes_ = 0; ///< Part of Shared::pendingBytes.
    std::uint64_t requestCount_ = 0;
    std::uint64_t pendingRequestId_ = 0; ///< Request without a response yet; 0 if none.
    bool keepAlive_ = false;
    bool isHead_ = false;
    bool closed_ = false;
};

HttpServer::HttpServer(boost::asio::io_context &context, const HttpServerLimits &limits)
    : listener_{context}
    , shared_{std::make_shared<Shared>()}
{
    shared_->limits = limits;
}

HttpServer::~HttpServer()
{
    close();
}

Result<SocketAddress> HttpServer::open(const SocketAddress &address, Handler handler)
{
    shared_->handler = std::move(handler);
    return listener_.open(address, [shared = shared_](boost::asio::ip::tcp::socket socket) {
        if (shared->closed || shared->sessions.size() >= shared->limits.connectionsMax) {
            return;
        }
        const auto session = std::make_shared<Session>(std::move(socket), shared);
        shared->sessions.emplace(session.get(), session);
        session->waitForRequest();
    });
}

void HttpServer::close()
{
    listener_.close();
    shared_->closed = true;
    for (const auto &[key, session] : std::exchange(shared_->sessions, {})) {
        session->close();
    }
}

std::uint64_t HttpServer::refusedRequests() const noexcept
{
    return shared_->refusedRequests;
}

std::size_t HttpServer::connectionCount() const noexcept
{
    return shared_->sessions.size();
}

} // namespace hyssoprock
