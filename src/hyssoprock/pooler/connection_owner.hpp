#pragma once

#include <span>

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

    /// @brief Buffer for one read, shared by all connections. One buffer per connection would
    /// dominate the memory of an idle session.
    [[nodiscard]] virtual std::span<char> readBuffer() noexcept = 0;
};

} // namespace hyssoprock
