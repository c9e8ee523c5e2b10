#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief A replica's connection to its primary.

namespace hyssoprock::endpoint {

class Server;

/// @brief Fetches entries from the primary that the database follows at present.
class ReplicaLink
{
public:
    explicit ReplicaLink(Server &server);
    ReplicaLink(const ReplicaLink &) = delete;
    ReplicaLink &operator=(const ReplicaLink &) = delete;
    ~ReplicaLink();

    /// @brief Connects, reconnects or disconnects if the database follows another primary now.
    void update();
    /// @brief Drops the connection; update() connects again.
    void reset();

private:
    struct Attempt;

    void connect();
    void fetch(const std::shared_ptr<Attempt> &attempt);
    void read(const std::shared_ptr<Attempt> &attempt);
    void received(const std::shared_ptr<Attempt> &attempt);
    void handle(const std::shared_ptr<Attempt> &attempt, const Frame &frame);
    void retryLater(const std::shared_ptr<Attempt> &attempt);

    Server &server_;
    std::shared_ptr<Attempt> current_;
};

} // namespace hyssoprock::endpoint
