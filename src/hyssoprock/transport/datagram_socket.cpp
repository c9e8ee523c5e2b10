#include <hyssoprock/transport/datagram_socket.hpp>

#include <utility>

#include <boost/asio/buffer.hpp>

namespace hyssoprock {

DatagramSocket::DatagramSocket(boost::asio::io_context &context)
    : socket_{context}
    , alive_{std::make_shared<DatagramSocket *>(this)}
{}

DatagramSocket::~DatagramSocket()
{
    close();
}

Result<SocketAddress> DatagramSocket::open(const SocketAddress &address, Handlers handlers)
{
    handlers_ = std::move(handlers);
    const boost::asio::ip::udp::endpoint endpoint{boost::asio::ip::make_address(address.ip),
                                                  address.port};
    boost::system::error_code error;
    socket_.open(endpoint.protocol(), error);
    if (!error) {
        socket_.bind(endpoint, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return failure(ErrorKind::Unreachable,
                       "cannot bind " + toString(address) + ": " + error.message());
    }
    receive();
    return SocketAddress{address.ip, socket_.local_endpoint().port()};
}

void DatagramSocket::receive()
{
    socket_.async_receive_from(
        boost::asio::buffer(input_), sender_,
        [weak = std::weak_ptr{alive_}](const boost::system::error_code &error, std::size_t bytes) {
            const auto self = weak.lock();
            if (!self || !(*self)->socket_.is_open()) {
                return;
            }
            if (!error) {
                (*self)->handleDatagram(bytes);
            }
            // An ICMP error for an earlier datagram is reported here;
            // the socket remains usable.
            if ((*self)->socket_.is_open()) {
                (*self)->receive();
            }
        });
}

void DatagramSocket::handleDatagram(std::size_t bytes)
{
    const SocketAddress sender{sender_.address().to_string(), sender_.port()};
    auto frame = decodeDatagram(std::string_view{input_.data(), bytes});
    if (frame.has_value()) {
        handlers_.frame(sender, std::move(frame.value()));
    } else if (handlers_.refused) {
        handlers_.refused(sender, frame.error());
    }
}

void DatagramSocket::send(const SocketAddress &to, const std::string &bytes)
{
    if (!socket_.is_open() || bytes.size() > datagramBodyBytesMax + frameHeaderBytes) {
        return;
    }
    boost::system::error_code error;
    const boost::asio::ip::udp::endpoint endpoint{boost::asio::ip::make_address(to.ip, error),
                                                  to.port};
    if (!error) {
        socket_.send_to(boost::asio::buffer(bytes), endpoint, 0, error);
    }
}

void DatagramSocket::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace hyssoprock
