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

/// @brief Clients that complete the handshake and then read nothing.
class StalledClients
{
public:
    StalledClients()
        : clients{context, handlers(), MemoryBounds{mebibyte, 0, mebibyte}, 8}
        , listener_{context}
    {
        address_ = listener_
                       .open({"127.0.0.1", 0},
                             [this](tcp::socket socket) { clients.accept(std::move(socket)); })
                       .value();
    }

    void add(const std::string &name)
    {
        auto &socket = sockets_.emplace_back(context);
        socket.connect({boost::asio::ip::make_address(address_.ip), address_.port});
        const auto frame = frameOf(HandshakeRequest{name, "entry"});
        boost::asio::write(socket, boost::asio::buffer(frame));
        const auto expected = received + 1;
        while (received < expected) {
            context.run_for(milliseconds{5});
        }
    }

    boost::asio::io_context context;
    ControlClients clients;
    std::size_t received = 0;
    std::vector<std::uint64_t> disconnected;

private:
    ControlClients::Handlers handlers()
    {
        ControlClients::Handlers handlers;
        handlers.received = [this](std::uint64_t /*id*/, const ControlClient & /*client*/) {
            ++received;
        };
        handlers.frame = [](std::uint64_t /*id*/, const ControlClient & /*client*/,
                            const Frame & /*frame*/) -> Result<void> {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        };
        handlers.disconnected = [this](std::uint64_t id) { disconnected.push_back(id); };
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

// Guards against output queues of slow readers that together exceed the host's memory, and against
// closing connections with short queues.
Test(controlClients, longestQueuesAreClosed)
{
    StalledClients stalled;
    for (const auto *name : {"a", "b", "c", "d"}) {
        stalled.add(name);
    }
    for (int i = 0; i < 2; ++i) {
        for (std::uint64_t id : {2, 4}) {
            stalled.clients.send(id, largeMessage());
        }
    }
    stalled.clients.send(1, KeepAlive{1});
    stalled.clients.limitQueuedBytes(20 * mebibyte);
    cr_assert(stalled.disconnected.empty());
    stalled.clients.limitQueuedBytes(10 * mebibyte);
    cr_assert_eq(stalled.disconnected.size(), 1);
    cr_assert(stalled.disconnected[0] == 2 || stalled.disconnected[0] == 4);
    stalled.clients.limitQueuedBytes(mebibyte);
    cr_assert_eq(stalled.disconnected.size(), 2);
}

// Guards against counting a shared frame once per receiver, which would close the connections of
// all receivers of one large frame.
Test(controlClients, sharedFrameCountsOnce)
{
    StalledClients stalled;
    for (int i = 0; i < 8; ++i) {
        stalled.add("reader " + std::to_string(i));
    }
    stalled.clients.sendAll(largeMessage());
    stalled.clients.limitQueuedBytes(5 * mebibyte);
    cr_assert(stalled.disconnected.empty());
}
