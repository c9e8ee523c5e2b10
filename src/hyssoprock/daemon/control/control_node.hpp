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
/// @brief The control role: connects the Raft group, the coordinator, hosts and operators.

namespace hyssoprock {

/// @brief Everything that a control host runs. Used on one I/O thread.
class ControlNode
{
public:
    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings; outlive this object.
    /// @param metrics Metrics; outlive this object.
    /// @param seed Seed of jitter and timeouts.
    ControlNode(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
                std::uint64_t seed);
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;
    ~ControlNode();

    /// @brief Restores the durable state and listens.
    /// @return The address for processes and operators, or why it cannot start.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Hands leadership over and closes, then calls back.
    /// @param done Called on the I/O thread.
    void stop(std::function<void()> done);

private:
    /// A process that has connected to this host.
    struct Client
    {
        std::shared_ptr<FrameConnection> connection;
        std::string process{};
        std::string role{};
    };

    using Clients = std::map<std::uint64_t, Client>;

    void accept(boost::asio::ip::tcp::socket socket);
    void take(std::uint64_t client, const Frame &frame);
    [[nodiscard]] Result<void> dispatch(std::uint64_t client, const Frame &frame);
    [[nodiscard]] Result<void> handshake(Client &client, const Frame &frame);
    [[nodiscard]] Result<void> takeRaft(const Client &client, const Frame &frame);
    void takeOperator(std::uint64_t client, const OperatorRequest &request);
    void sendRaft(const std::string &to, const RaftMessage &message);
    FrameClient *peer(const std::string &name);
    void roleChanged(bool leading, std::uint64_t term, const std::string &leader);
    void coordinate(const CoordinatorEvent &event);
    void carryOut(CoordinatorAction action);
    void callEndpoint(const CallEndpoint &action);
    void report(const FailoverReport &report);
    /// Sends the answer of a remembered request, unless its client has gone.
    template <class Message>
    void answer(RequestId request, const Message &message);
    /// Notes who sent a request, for answer().
    [[nodiscard]] RequestId remember(std::uint64_t client);

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
