#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include <hyssoprock/pooling/pooler_event.hpp>

/// @file
/// @brief Interface between an entry host and its connections.

namespace hyssoprock {

/// @brief Owner of caller and endpoint connections. Used on one I/O thread.
class ConnectionOwner
{
public:
    ConnectionOwner() = default;
    ConnectionOwner(const ConnectionOwner &) = delete;
    ConnectionOwner &operator=(const ConnectionOwner &) = delete;
    virtual ~ConnectionOwner() = default;

    /// @brief Queues an event. It is processed immediately unless another event is being processed.
    virtual void post(PoolerEvent event) = 0;

    /// @brief Reports that a caller's socket is closed, so that its connection can be released.
    virtual void callerClosed(CallerId caller) = 0;

    /// @brief Reports the memory that a caller's connection holds. Connections that must make room
    /// are closed later, not during the call.
    /// @return Whether the connection may read; if not, the owner calls its resume() later. By
    /// default there is no limit, for owners without callers.
    [[nodiscard]] virtual bool chargeMemory(CallerId /*caller*/, std::size_t /*bytes*/)
    {
        return true;
    }

    /// @brief Reports that a caller was closed because it was too slow.
    virtual void callerTimedOut(std::string_view /*what*/) {}

    /// @brief Buffer for one read, shared by all connections. One buffer per connection would
    /// dominate the memory of an idle session.
    [[nodiscard]] virtual std::span<char> readBuffer() noexcept = 0;
};

} // namespace hyssoprock
