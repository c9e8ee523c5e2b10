#include <hyssoprock/pooler/stream_socket.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>

#include <hyssoprock/transport/socket_options.hpp>

namespace hyssoprock {

namespace {

// A peer whose machine has failed must not hold a session or a connection for longer than this.
constexpr Duration userTimeout = std::chrono::seconds{10};
// A buffer that has grown beyond this for a large message is released.
constexpr std::size_t retainedBytesMax = std::size_t{16} * 1024;

} // namespace

StreamSocket::StreamSocket(boost::asio::ip::tcp::socket socket)
    : socket_{std::move(socket)}
{}

void StreamSocket::configure()
{
    configureSocket(socket_, userTimeout);
    boost::system::error_code ignored;
    socket_.non_blocking(true, ignored);
}

StreamSocket::Progress StreamSocket::write()
{
    while (pendingBytes() > 0) {
        boost::system::error_code error;
        writtenBytes_ += socket_.write_some(
            boost::asio::buffer(output_.data() + writtenBytes_, pendingBytes()), error);
        if (error == boost::asio::error::would_block) {
            return Progress::Partial;
        }
        if (error) {
            return Progress::Failed;
        }
    }
    writtenBytes_ = 0;
    if (output_.capacity() > retainedBytesMax) {
        output_ = std::string{};
    } else {
        output_.clear();
    }
    return Progress::Done;
}

Result<std::string_view> StreamSocket::read(std::span<char> buffer)
{
    boost::system::error_code error;
    const auto bytes = socket_.read_some(boost::asio::buffer(buffer.data(), buffer.size()), error);
    if (error && error != boost::asio::error::would_block) {
        return failure(ErrorKind::Unreachable, error.message());
    }
    return std::string_view{buffer.data(), bytes};
}

void StreamSocket::close() noexcept
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace hyssoprock
