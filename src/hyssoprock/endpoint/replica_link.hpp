#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Connection of a replica to its primary.

namespace hyssoprock::endpoint {

class Server;

/// @brief Fetches entries from the primary that the database currently follows.
class ReplicaLink
{
public:
    explicit ReplicaLink(Server &server);
    ReplicaLink(const ReplicaLink &) = delete;
    ReplicaLink &operator=(const ReplicaLink &) = delete;
    ~ReplicaLink();

    /// @brief Adjusts the connection to the primary that the database currently follows.
    void update();
    /// @brief Closes the connection; update() reconnects.
    void reset();

private:
    struct Attempt;

    void connect();
    void fetch(const std::shared_ptr<Attempt> &attempt);
    void read(const std::shared_ptr<Attempt> &attempt);
    void handleNextFrame(const std::shared_ptr<Attempt> &attempt);
    void handleFrame(const std::shared_ptr<Attempt> &attempt, const Frame &frame);
    void retryLater(const std::shared_ptr<Attempt> &attempt);

    Server &server_;
    std::shared_ptr<Attempt> currentAttempt_;
};

} // namespace hyssoprock::endpoint
