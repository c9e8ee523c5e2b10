#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/transport/frame_client.hpp>

/// @file
/// @brief Outgoing connections of a control host to the other control hosts.

namespace hyssoprock {

/// @brief Keeps one connection to each known control host. Used on one I/O thread.
class ControlPeers
{
public:
    /// @brief Callbacks to the owner, called on the I/O thread.
    struct Handlers
    {
        std::function<void(const std::string &host)> up{}; ///< A connection was established.
        std::function<void(const std::string &host, const Frame &frame)>
            frame{}; ///< A frame has arrived.
    };

    /// @param name IP address of this host, sent in handshakes.
    /// @param seed Seed of the reconnect jitter.
    ControlPeers(boost::asio::io_context &context, std::string name, std::uint64_t seed);

    /// @brief Sets the parameters of all connections; called before open().
    /// @param port Internal port, the same on every host.
    void start(std::uint16_t port, Handlers handlers);

    /// @brief Opens a connection to a host unless one exists.
    /// @param host IP address.
    void open(const std::string &host, Instant now);
    /// @brief Opens connections to new hosts and closes those to hosts that are no longer listed.
    /// @param known Sorted IP addresses of all known control hosts.
    void sync(const std::vector<std::string> &known, Instant now);
    /// @brief Closes connections without received bytes for the given time; sync() reopens them.
    void closeSilent(Instant now, Duration timeout);

    /// @brief Queues a message to a host.
    /// @return False if the host is unknown or not connected.
    template <class Message>
    bool send(const std::string &host, const Message &message)
    {
        const auto found = peers_.find(host);
        return found != peers_.end() && found->second.client->send(message);
    }

    /// @brief Sends a message to every connected host.
    template <class Message>
    void sendAll(const Message &message)
    {
        const auto frame = sharedFrameOf(message);
        for (const auto &[host, peer] : peers_) {
            peer.client->send(frame);
        }
    }

    [[nodiscard]] bool contains(const std::string &host) const { return peers_.contains(host); }
    [[nodiscard]] bool isUp(const std::string &host) const;
    /// @brief Sequence number of the newest connection to a host; unique across all hosts.
    /// @return 0 if the host was never connected.
    [[nodiscard]] std::uint64_t connectionNumber(const std::string &host) const;
    /// @brief Time of the last frame from a host or of the last connect, initially when it was
    /// added.
    /// @return std::nullopt for an unknown host.
    [[nodiscard]] std::optional<Instant> lastReceivedAt(const std::string &host) const;
    /// @brief Sorted IP addresses of the connected hosts.
    [[nodiscard]] std::vector<std::string> connected() const;

private:
    struct Peer
    {
        std::unique_ptr<FrameClient> client;
        Instant lastReceivedAt;
        std::uint64_t connectionNumber = 0; ///< Sequence number; 0 before the first connection.
    };

    boost::asio::io_context &context_;
    std::string name_;
    RandomSource random_;
    std::uint16_t port_ = 0;
    std::uint64_t lastConnectionNumber_ = 0;
    Handlers handlers_{};
    std::map<std::string, Peer> peers_{};
};

} // namespace hyssoprock
