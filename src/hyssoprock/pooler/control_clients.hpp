#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/limits/memory_budget.hpp>
#include <hyssoprock/transport/frame_connection.hpp>

/// @file
/// @brief Incoming connections of a control host.

namespace hyssoprock {

/// @brief A process that is connected to this host.
struct ControlClient
{
    std::shared_ptr<FrameConnection> connection;
    Instant lastReceivedAt; ///< Time of the last frame.
    std::string process{};  ///< Name from its handshake or subscription.
    std::string role{};     ///< "entry", "control" or "operator"; empty before the handshake.
};

/// @brief Accepts connections, processes their handshakes, and closes connections that are silent
/// or violate the protocol. Used on one I/O thread.
class ControlClients
{
public:
    /// @brief Callbacks to the owner, called on the I/O thread.
    struct Handlers
    {
        /// A client has sent a frame of any type. Called before `frame`.
        std::function<void(std::uint64_t id, const ControlClient &client)> received{};
        /// A client with a role has sent a frame that this class does not process itself. An error
        /// closes the connection.
        std::function<Result<void>(std::uint64_t id, const ControlClient &client,
                                   const Frame &frame)>
            frame{};
        /// The client was removed.
        std::function<void(std::uint64_t id)> disconnected{};
    };

    /// @param memory Bounds on incomplete frames.
    /// @param connectionsMax Further connections are closed.
    ControlClients(boost::asio::io_context &context, Handlers handlers, MemoryBounds memory,
                   std::size_t connectionsMax);
    ControlClients(const ControlClients &) = delete;
    ControlClients &operator=(const ControlClients &) = delete;
    ~ControlClients();

    /// @brief Takes ownership of an accepted connection.
    void accept(boost::asio::ip::tcp::socket socket);
    /// @brief Closes connections without received bytes for longer than `limit`.
    void closeSilent(Instant now, Duration limit);
    /// @brief Closes the connections with the longest output queues until all queues together use
    /// at most `bytesMax` bytes. A frame that is queued for several clients counts once.
    void limitQueuedBytes(std::size_t bytesMax);
    /// @brief Sends a message to every client with a role.
    template <class Message>
    void sendAll(const Message &message)
    {
        const auto frame = sharedFrameOf(message);
        for (const auto &[id, client] : clients_) {
            if (!client.role.empty()) {
                client.connection->send(frame);
            }
        }
    }
    /// @brief Sends a message to every client with a given role.
    template <class Message>
    void sendAll(std::string_view role, const Message &message)
    {
        const auto frame = sharedFrameOf(message);
        for (const auto &[id, client] : clients_) {
            if (client.role == role) {
                client.connection->send(frame);
            }
        }
    }
    /// @brief Sends a message to a client unless it was removed.
    template <class Message>
    void send(std::uint64_t id, const Message &message)
    {
        if (const auto found = clients_.find(id); found != clients_.end()) {
            found->second.connection->sendMessage(message);
        }
    }

private:
    void chargeInput(std::uint64_t id, std::size_t bytes);
    void handleFrame(std::uint64_t id, const Frame &frame);
    [[nodiscard]] Result<void> dispatch(std::uint64_t id, ControlClient &client,
                                        const Frame &frame);
    void scheduleErase(std::uint64_t id);
    void closeClient(std::uint64_t id);

    boost::asio::io_context &context_;
    Handlers handlers_;
    MemoryBudget memory_;
    std::size_t connectionsMax_;
    std::map<std::uint64_t, ControlClient> clients_{};
    std::uint64_t nextId_ = 1;
    /// Event loop callbacks hold a weak reference to it, so that none runs after destruction.
    std::shared_ptr<ControlClients *> alive_;
};

} // namespace hyssoprock
