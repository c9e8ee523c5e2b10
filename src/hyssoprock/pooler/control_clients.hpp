#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/transport/frame_connection.hpp>

/// @file
/// @brief Processes that have connected to a control host.

namespace hyssoprock {

/// @brief A process that has connected to this host.
struct ControlClient
{
    std::shared_ptr<FrameConnection> connection; ///< Its connection.
    Instant lastReceivedAt;                      ///< Newest frame.
    std::string process{};                       ///< Name that it has given.
    std::string role{}; ///< "entry", "control" or "operator"; empty at first.
};

/// @brief Accepts connections, learns who is at the other end, and closes those that are silent or
/// violate the protocol. Used on one I/O thread.
class ControlClients
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        /// Any frame of a visitor has arrived.
        std::function<void(std::uint64_t id, const ControlClient &visitor)> heard{};
        /// A frame of a visitor with a role, except for those that this class handles itself. An
        /// error closes the connection.
        std::function<Result<void>(std::uint64_t id, const ControlClient &visitor,
                                   const Frame &frame)>
            frame{};
        /// The visitor is not known any more.
        std::function<void(std::uint64_t id)> gone{};
    };

    /// @brief Knows no visitor.
    /// @param context I/O context.
    /// @param handlers Called on the I/O thread.
    ControlClients(boost::asio::io_context &context, Handlers handlers);
    ControlClients(const ControlClients &) = delete;
    ControlClients &operator=(const ControlClients &) = delete;
    ~ControlClients();

    /// @brief Takes a connection that was opened to this host.
    void accept(boost::asio::ip::tcp::socket socket);
    /// @brief Closes connections that have been silent.
    /// @param now Present time.
    /// @param limit Longest silence.
    void closeSilent(Instant now, Duration limit);
    /// @brief Closes the connections with the longest queues until the memory of all queues is
    /// within a bound. A frame that waits for several visitors counts once.
    /// @param bytesMax The bound.
    void limitQueuedBytes(std::size_t bytesMax);
    /// @brief Sends a message to every visitor with a role.
    template <class Message>
    void sendAll(const Message &message)
    {
        const auto frame = sharedFrameOf(message);
        for (const auto &[id, visitor] : visitors_) {
            if (!visitor.role.empty()) {
                visitor.connection->send(frame);
            }
        }
    }
    /// @brief Sends a message to a visitor, if it is still known.
    template <class Message>
    void send(std::uint64_t id, const Message &message)
    {
        if (const auto found = visitors_.find(id); found != visitors_.end()) {
            found->second.connection->sendMessage(message);
        }
    }

private:
    void take(std::uint64_t id, const Frame &frame);
    [[nodiscard]] Result<void> dispatch(std::uint64_t id, ControlClient &visitor,
                                        const Frame &frame);
    void eraseLater(std::uint64_t id);
    void drop(std::uint64_t id);

    boost::asio::io_context &context_;
    Handlers handlers_;
    std::map<std::uint64_t, ControlClient> visitors_{};
    std::uint64_t next_ = 1;
    /// Callbacks of the event loop hold a weak reference, so that none runs after destruction.
    std::shared_ptr<ControlClients *> alive_;
};

} // namespace hyssoprock
