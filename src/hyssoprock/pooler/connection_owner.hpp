#pragma once

#include <span>

#include <hyssoprock/pooling/pooler_event.hpp>

/// @file
/// @brief What the connections of an entry host need of it.

namespace hyssoprock {

/// @brief Owner of caller and endpoint connections. Used on one I/O thread.
class ConnectionOwner
{
public:
    ConnectionOwner() = default;
    ConnectionOwner(const ConnectionOwner &) = delete;
    ConnectionOwner &operator=(const ConnectionOwner &) = delete;
    virtual ~ConnectionOwner() = default;

    /// @brief Queues an event; it is handled at once unless actions are being executed.
    /// @param event The event.
    virtual void post(PoolerEvent event) = 0;

    /// @brief The socket of a caller is closed and its connection can be released.
    /// @param caller The caller.
    virtual void callerClosed(CallerId caller) = 0;

    /// @brief Buffer for one read. It is shared by all connections, because a buffer for each of
    /// them would be the largest part of the memory of an idle session.
    [[nodiscard]] virtual std::span<char> readBuffer() noexcept = 0;
};

} // namespace hyssoprock
