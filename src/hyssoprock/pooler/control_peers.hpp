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
/// @brief Connections of a control host to the other control hosts.

namespace hyssoprock {

/// @brief Keeps one connection to each known control host. Used on one I/O thread.
class ControlPeers
{
public:
    /// @brief What the owner is told.
    struct Handlers
    {
        std::function<void(const std::string &host)> up{};                        ///< Connected.
        std::function<void(const std::string &host, const Frame &frame)> frame{}; ///< Arrived.
    };

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param name This host.
    /// @param seed Seed of the jitter between attempts.
    ControlPeers(boost::asio::io_context &context, std::string name, std::uint64_t seed);

    /// @brief Sets what open() needs.
    /// @param port Internal port of every host.
    /// @param handlers Called on the I/O thread.
    void start(std::uint16_t port, Handlers handlers);

    /// @brief Connects to a host unless that is done already.
    /// @param host IP number.
    /// @param now Present time.
    void open(const std::string &host, Instant now);
    /// @brief Connects to new hosts and disconnects from those that are not known any more.
    /// @param known IP numbers, sorted.
    /// @param now Present time.
    void sync(const std::vector<std::string> &known, Instant now);
    /// @brief Drops connections that have been silent; sync() opens new ones.
    /// @param now Present time.
    /// @param limit Longest silence.
    void closeSilent(Instant now, Duration limit);

    /// @brief Sends a message to a host.
    /// @return Whether it was queued.
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
    /// @brief Number of the newest connection to a host; no two connections share one.
    /// @return 0 if there was none.
    [[nodiscard]] std::uint64_t connection(const std::string &host) const;
    /// @brief When a host was last heard.
    /// @return Nothing for a host that is not known.
    [[nodiscard]] std::optional<Instant> lastReceivedAt(const std::string &host) const;
    /// @brief Connected hosts, sorted.
    [[nodiscard]] std::vector<std::string> connected() const;

private:
    struct Peer
    {
        std::unique_ptr<FrameClient> client;
        Instant lastReceivedAt;
        std::uint64_t connection = 0; ///< Number of the newest connection.
    };

    boost::asio::io_context &context_;
    std::string name_;
    RandomSource random_;
    std::uint16_t port_ = 0;
    std::uint64_t connections_ = 0;
    Handlers handlers_{};
    std::map<std::string, Peer> peers_{};
};

} // namespace hyssoprock
