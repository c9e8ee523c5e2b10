#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooler/control_clients.hpp>
#include <hyssoprock/transport/frame_client.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

using namespace hyssoprock;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

/// @brief Visitors that introduce themselves and then read nothing.
class Readers
{
public:
    Readers()
        : visitors{context, handlers()}
        , listener_{context}
    {
        address_ = listener_
                       .open({"127.0.0.1", 0},
                             [this](tcp::socket socket) { visitors.accept(std::move(socket)); })
                       .value();
    }

    void add(const std::string &name)
    {
        auto &socket = sockets_.emplace_back(context);
        socket.connect({boost::asio::ip::make_address(address_.ip), address_.port});
        const auto frame = frameOf(HandshakeRequest{name, "entry"});
        boost::asio::write(socket, boost::asio::buffer(frame));
        const auto expected = heard + 1;
        while (heard < expected) {
            context.run_for(milliseconds{5});
        }
    }

    boost::asio::io_context context;
    ControlClients visitors;
    std::size_t heard = 0;
    std::vector<std::uint64_t> gone;

private:
    ControlClients::Handlers handlers()
    {
        ControlClients::Handlers handlers;
        handlers.heard = [this](std::uint64_t /*id*/, const ControlClient & /*visitor*/) {
            ++heard;
        };
        handlers.frame = [](std::uint64_t /*id*/, const ControlClient & /*visitor*/,
                            const Frame & /*frame*/) -> Result<void> {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        };
        handlers.gone = [this](std::uint64_t id) { gone.push_back(id); };
        return handlers;
    }

    TcpListener listener_;
    SocketAddress address_;
    std::vector<tcp::socket> sockets_;
};

DocumentAnswer largeMessage()
{
    return {1, 1, std::string(4 * mebibyte, 'x')};
}

} // namespace

// Guards against queues of slow readers that together exceed the memory of the host, and against
// closing the connections of readers with short queues.
Test(controlVisitors, longestQueuesAreClosed)
{
    Readers readers;
    for (const auto *name : {"a", "b", "c", "d"}) {
        readers.add(name);
    }
    for (int i = 0; i < 2; ++i) {
        for (std::uint64_t id : {2, 4}) {
            readers.visitors.send(id, largeMessage());
        }
    }
    readers.visitors.send(1, KeepAlive{1});
    readers.visitors.limitQueuedBytes(20 * mebibyte);
    cr_assert(readers.gone.empty());
    readers.visitors.limitQueuedBytes(10 * mebibyte);
    cr_assert_eq(readers.gone.size(), 1);
    cr_assert(readers.gone[0] == 2 || readers.gone[0] == 4);
    readers.visitors.limitQueuedBytes(mebibyte);
    cr_assert_eq(readers.gone.size(), 2);
}

// Guards against counting a frame once for each receiver, which would close the connections of all
// readers of one large frame.
Test(controlVisitors, aSharedFrameCountsOnce)
{
    Readers readers;
    for (int i = 0; i < 8; ++i) {
        readers.add("reader " + std::to_string(i));
    }
    readers.visitors.sendAll(largeMessage());
    readers.visitors.limitQueuedBytes(5 * mebibyte);
    cr_assert(readers.gone.empty());
}
