#include <hyssoprock/daemon/entry/caller_stream.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace hyssoprock {

namespace {

// A load balancer on the way completes a startup within milliseconds.
constexpr std::chrono::milliseconds startupTimeout{10000};
// A caller that takes nothing for so long would hold the memory of its answer.
constexpr std::chrono::milliseconds writeTimeout{30000};
constexpr std::chrono::milliseconds finishTimeout{1000};
constexpr std::size_t drainedBytes = 262144;

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

void CallerStream::wantMessage()
{
    wanted_ = true;
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()]() { self->deliver(); });
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
                self->gone();
                return;
            }
            self->decoder_.append(std::string_view{self->input_.data(), bytes});
            self->inputPending_ = true;
            self->deliver();
        });
}

void CallerStream::deliver()
{
    // Without a wanted message one more read is allowed, which also notices a closed connection.
    if (!open_ || finishing_ || !wanted_) {
        if (open_ && !inputPending_) {
            read();
        }
        return;
    }
    auto message = decoder_.next();
    if (message.has_error()) {
        wanted_ = false;
        handlers_.refused(message.error());
        return;
    }
    if (!message.value()) {
        inputPending_ = false;
        read();
        return;
    }
    wanted_ = false;
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
                self->gone();
            } else {
                self->written(bytes);
            }
        });
}

void CallerStream::written(std::size_t bytes)
{
    outputBytes_ -= bytes;
    if (bytes == output_.front().size()) {
        output_.pop_front();
    } else {
        output_.front().erase(0, bytes);
    }
    if (outputBytes_ <= drainedBytes && drained_) {
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

void CallerStream::whenDrained(std::function<void()> drained)
{
    drained_ = std::move(drained);
    if (outputBytes_ <= drainedBytes) {
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
            self->gone();
        }
    });
}

void CallerStream::gone()
{
    if (!open_) {
        return;
    }
    const auto handler = handlers_.gone;
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
    // Handlers own the owner of this stream, and close() may run inside one of them.
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
