#include <hyssoprock/daemon/entry/caller_stream.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace hyssoprock {

namespace {

// Startup normally takes milliseconds, also through a load balancer.
constexpr std::chrono::milliseconds startupTimeout{10000};
// Limits how long a caller that reads nothing can occupy the memory of its answer.
constexpr std::chrono::milliseconds writeTimeout{30000};
constexpr std::chrono::milliseconds finishTimeout{1000};
constexpr std::size_t drainedBytesMax = 262144;

} // namespace

CallerStream::CallerStream(boost::asio::ip::tcp::socket socket, std::size_t messageBytesMax)
    : socket_{std::move(socket)}
    , timer_{socket_.get_executor()}
    , decoder_{messageBytesMax}
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
    socket_.set_option(boost::asio::socket_base::keep_alive{true}, ignored);
}

void CallerStream::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    armTimer(startupTimeout, true);
    read();
}

void CallerStream::requestMessage()
{
    messageRequested_ = true;
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()]() { self->deliverMessage(); });
}

void CallerStream::read()
{
    if (reading_ || !open_) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(input_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->reading_ = false;
            if (!self->open_) {
                return;
            }
            if (error) {
                self->handleDisconnect();
                return;
            }
            self->decoder_.append(std::string_view{self->input_.data(), bytes});
            self->inputPending_ = true;
            self->deliverMessage();
        });
}

void CallerStream::deliverMessage()
{
    // One more read is allowed without a requested message, so that a disconnect is detected.
    if (!open_ || finishing_ || !messageRequested_) {
        if (open_ && !inputPending_) {
            read();
        }
        return;
    }
    auto message = decoder_.next();
    if (message.has_error()) {
        messageRequested_ = false;
        handlers_.refused(message.error());
        return;
    }
    if (!message.value()) {
        inputPending_ = false;
        read();
        return;
    }
    messageRequested_ = false;
    if (!started_ && !decoder_.inStartup()) {
        started_ = true;
        timer_.cancel();
    }
    inputPending_ = decoder_.bufferedBytes() > 0;
    handlers_.message(std::move(*message.value()));
    if (open_ && !inputPending_) {
        read();
    }
}

void CallerStream::send(std::string bytes)
{
    if (!open_ || finishing_ || bytes.empty()) {
        return;
    }
    outputBytes_ += bytes.size();
    output_.push_back(std::move(bytes));
    write();
}

void CallerStream::write()
{
    if (writing_ || output_.empty() || !open_) {
        return;
    }
    writing_ = true;
    if (started_ && !finishing_) {
        armTimer(writeTimeout, false);
    }
    socket_.async_write_some(
        boost::asio::buffer(output_.front()),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            self->writing_ = false;
            if (!self->open_) {
                return;
            }
            if (error) {
                self->handleDisconnect();
            } else {
                self->handleWritten(bytes);
            }
        });
}

void CallerStream::handleWritten(std::size_t bytes)
{
    outputBytes_ -= bytes;
    if (bytes == output_.front().size()) {
        output_.pop_front();
    } else {
        output_.front().erase(0, bytes);
    }
    if (outputBytes_ <= drainedBytesMax && drained_) {
        std::exchange(drained_, {})();
    }
    if (!output_.empty()) {
        write();
    } else if (finishing_) {
        close();
    } else if (started_) {
        timer_.cancel();
    }
}

void CallerStream::onDrained(std::function<void()> drained)
{
    drained_ = std::move(drained);
    if (outputBytes_ <= drainedBytesMax) {
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()]() {
            if (self->drained_) {
                std::exchange(self->drained_, {})();
            }
        });
    }
}

void CallerStream::armTimer(std::chrono::milliseconds time, bool refuse)
{
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this(), refuse](const boost::system::error_code &error) {
        if (error || !self->open_ || self->timer_.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        if (refuse && !self->started_) {
            self->handlers_.refused(
                Error{ErrorKind::DeadlineExceeded, "no startup message in time"});
        } else {
            self->handleDisconnect();
        }
    });
}

void CallerStream::handleDisconnect()
{
    if (!open_) {
        return;
    }
    const auto handler = handlers_.disconnected;
    close();
    if (handler) {
        handler();
    }
}

void CallerStream::finish()
{
    if (!open_) {
        return;
    }
    if (output_.empty()) {
        close();
        return;
    }
    finishing_ = true;
    armTimer(finishTimeout, false);
}

void CallerStream::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    timer_.cancel();
    drained_ = {};
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    // The handlers share ownership of the owner of this stream, and close() may be called by one of
    // them, so they are destroyed later.
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()]() { self->handlers_ = Handlers{}; });
}

std::string CallerStream::peer() const
{
    boost::system::error_code error;
    const auto endpoint = socket_.remote_endpoint(error);
    return error ? "unknown"
                 : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace hyssoprock
