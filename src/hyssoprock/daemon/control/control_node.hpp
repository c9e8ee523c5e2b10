#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/daemon/control/catalog_replica.hpp>
#include <hyssoprock/daemon/shared/metrics.hpp>
#include <hyssoprock/daemon/shared/status_connection.hpp>
#include <hyssoprock/failover/coordinator.hpp>
#include <hyssoprock/replicated/raft_host.hpp>
#include <hyssoprock/transport/frame_client.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief Control role: connects the Raft group, the coordinator, entry hosts and operators.

namespace hyssoprock {

/// @brief Services of a control host. Must be used on one I/O thread.
class ControlNode
{
public:
    /// @brief Creates an inactive node; see start().
    /// @param context I/O context.
    /// @param settings Settings; must outlive this object.
    /// @param metrics Metrics; must outlive this object.
    /// @param seed Random seed for jitter and timeouts.
    ControlNode(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
                std::uint64_t seed);
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;
    ~ControlNode();

    /// @brief Restores the durable state and listens for connections.
    /// @return The listening address, or the error that prevents the start.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Transfers leadership and stops.
    /// @param done Called on the I/O thread after the stop.
    void stop(std::function<void()> done);

private:
    /// Process that is connected to this host.
    struct Client
    {
        std::shared_ptr<FrameConnection> connection;
        std::string process{};
        std::string role{};
    };

    using Clients = std::map<std::uint64_t, Client>;

    void accept(boost::asio::ip::tcp::socket socket);
    void handleFrame(std::uint64_t client, const Frame &frame);
    [[nodiscard]] Result<void> dispatch(std::uint64_t client, const Frame &frame);
    [[nodiscard]] Result<void> handleHandshake(Client &client, const Frame &frame);
    [[nodiscard]] Result<void> handleRaftMessage(const Client &client, const Frame &frame);
    void handleOperatorRequest(std::uint64_t client, const OperatorRequest &request);
    void sendRaft(const std::string &to, const RaftMessage &message);
    FrameClient *peer(const std::string &name);
    void handleRoleChange(bool leading, std::uint64_t term, const std::string &leader);
    void handleCoordinatorEvent(const CoordinatorEvent &event);
    void execute(CoordinatorAction action);
    void callEndpoint(const CallEndpoint &action);
    void recordFailover(const FailoverReport &report);
    /// Sends the answer to a registered request, unless its client has disconnected.
    template <class Message>
    void answer(RequestId request, const Message &message);
    /// Registers the sender of a request for answer().
    [[nodiscard]] RequestId registerRequest(std::uint64_t client);

    boost::asio::io_context &context_;
    const Settings &settings_;
    Metrics &metrics_;
    RandomSource random_;
    CatalogReplica replica_;
    RaftHost raft_;
    Coordinator coordinator_;
    DeadlineTimer timer_;
    TcpListener listener_;
    std::map<std::string, std::unique_ptr<FrameClient>> peers_{};
    Clients clients_{};
    std::uint64_t nextClient_ = 1;
    std::map<RequestId, std::uint64_t> requests_{};
    RequestId nextRequest_ = 1;
    std::map<std::string, std::unique_ptr<StatusConnection>> endpoints_{};
    bool leading_ = false;
};

template <class Message>
void ControlNode::answer(RequestId request, const Message &message)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return;
    }
    const auto client = clients_.find(found->second);
    requests_.erase(found);
    if (client != clients_.end()) {
        client->second.connection->sendMessage(message);
    }
}

} // namespace hyssoprock
