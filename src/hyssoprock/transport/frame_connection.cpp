#include <hyssoprock/transport/frame_connection.hpp>

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>

#include <hyssoprock/message/control.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>
#include <hyssoprock/transport/socket_options.hpp>

namespace hyssoprock {

namespace {

constexpr std::size_t inputBytes = 65536;

} // namespace

FrameConnection::FrameConnection(boost::asio::ip::tcp::socket socket, StreamLimits limits)
    : socket_{std::move(socket)}
    , timer_{socket_.get_executor()}
    , watch_{limits}
{
    configureSocket(socket_, limits.writeTimeout);
    boost::system::error_code blocking;
    socket_.non_blocking(true, blocking);
    if (limits.sendBufferBytes > 0) {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::send_buffer_size{limits.sendBufferBytes},
                           ignored);
    }
}

void FrameConnection::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    read();
}

void FrameConnection::read()
{
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code &error) {
                           if (!self->open_) {
                               return;
                           }
                           if (error) {
                               self->fail(Error{ErrorKind::Unreachable, error.message()});
                               return;
                           }
                           self->handleReadable();
                       });
}

void FrameConnection::handleReadable()
{
    // One buffer for all connections of a thread: 1024 connections with one each would occupy
    // 64 MB. Its bytes are appended to the reader before any other code runs.
    static thread_local std::array<char, inputBytes> input;
    boost::system::error_code error;
    const auto bytes = socket_.read_some(boost::asio::buffer(input), error);
    if (error == boost::asio::error::would_block) {
        read();
        return;
    }
    if (error) {
        fail(Error{ErrorKind::Unreachable, error.message()});
        return;
    }
    handleInput(std::string_view{input.data(), bytes});
}

void FrameConnection::handleInput(std::string_view bytes)
{
    receivedAt_ = monotonicNow();
    bool frameStarted = !reader_.hasPartialFrame();
    reader_.append(bytes);
    while (open_ && !closeAfterWrite_) {
        auto frame = reader_.next();
        if (frame.has_error()) {
            reject(frame.error());
            return;
        }
        if (!frame.value()) {
            break;
        }
        frameStarted = true;
        handlers_.frame(std::move(*frame.value()));
    }
    if (const auto held = reader_.bufferedBytes(); open_ && held != bufferedBytes_) {
        bufferedBytes_ = held;
        if (handlers_.buffered) {
            handlers_.buffered(held);
        }
    }
    if (open_ && !closeAfterWrite_) {
        watch_.recordReceived(frameStarted, reader_.hasPartialFrame(), monotonicNow());
        armTimer();
        read();
    }
}

void FrameConnection::send(std::string bytes)
{
    send(std::make_shared<const std::string>(std::move(bytes)));
}

void FrameConnection::send(SharedFrame frame)
{
    if (!open_ || closeAfterWrite_) {
        return;
    }
    if (auto queued = watch_.recordQueued(frame->size(), monotonicNow()); queued.has_error()) {
        fail(queued.error());
        return;
    }
    output_.push_back(std::move(frame));
    write();
}

void FrameConnection::write()
{
    if (writePending_ || output_.empty()) {
        return;
    }
    writePending_ = true;
    armTimer();
    socket_.async_write_some(
        boost::asio::buffer(*output_.front()) + writtenBytes_,
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->writePending_ = false;
            if (!self->open_) {
                return;
            }
            if (error) {
                self->fail(Error{ErrorKind::Unreachable, error.message()});
                return;
            }
            self->watch_.recordWritten(bytes, monotonicNow());
            self->writtenBytes_ += bytes;
            if (self->writtenBytes_ == self->output_.front()->size()) {
                self->output_.pop_front();
                self->writtenBytes_ = 0;
            }
            if (self->output_.empty() && self->closeAfterWrite_) {
                self->fail(self->closeReason_);
                return;
            }
            self->write();
        });
}

void FrameConnection::armTimer()
{
    const auto deadline = watch_.nextDeadline();
    if (!deadline) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(remainingUntil(*deadline));
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || !self->open_) {
            return;
        }
        if (auto checked = self->watch_.check(monotonicNow()); checked.has_error()) {
            self->fail(checked.error());
        } else {
            self->armTimer();
        }
    });
}

void FrameConnection::reject(const Error &error)
{
    send(frameOf(ErrorResponse{error.kind, error.detail}));
    closeAfterWrite_ = true;
    closeReason_ = error;
    if (open_ && output_.empty()) {
        fail(error);
    }
}

void FrameConnection::fail(const Error &error)
{
    if (!open_) {
        return;
    }
    const auto closed = std::move(handlers_.closed);
    close();
    if (closed) {
        closed(error);
    }
}

void FrameConnection::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    timer_.cancel();
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    // The handlers may own the owner of this connection. They are released asynchronously because
    // close() may be called from one of them.
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()]() { self->handlers_ = Handlers{}; });
}

std::string FrameConnection::peer() const
{
    boost::system::error_code error;
    const auto endpoint = socket_.remote_endpoint(error);
    return error ? "unknown"
                 : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace hyssoprock
