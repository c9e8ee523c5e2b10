#pragma once

#include <cstddef>
#include <optional>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Timeouts and buffer limits that disconnect slow peers.

namespace hyssoprock {

/// @brief Timeouts and buffer limits of one stream connection.
struct StreamLimits
{
    /// Time limit for receiving a frame, from its first byte; further bytes do not extend it. A
    /// snapshot of 64 MB takes about 5 s at 100 Mbit/s.
    Duration frameTimeout = std::chrono::seconds{10};
    /// Time within which at least one queued byte must be written to the peer.
    Duration writeTimeout = std::chrono::seconds{5};
    /// Limit of the bytes queued for a peer.
    std::size_t outputBytesMax = std::size_t{128} * 1024 * 1024;
    /// Size of the socket's send buffer (SO_SNDBUF); 0 keeps the default of the kernel.
    int sendBufferBytes = 0;
};

/// @brief Tracks the read and write progress of a stream connection.
class StreamWatch
{
public:
    explicit StreamWatch(StreamLimits limits) noexcept
        : limits_{limits}
    {}

    /// @brief Records that bytes were received and the complete frames were removed.
    /// @param frameStarted Whether these bytes completed a frame, or no frame was incomplete
    /// before.
    /// @param hasPartialFrame Whether a frame is incomplete now.
    /// @param now Current time.
    void recordReceived(bool frameStarted, bool hasPartialFrame, Instant now) noexcept;

    /// @brief Records that bytes were queued for the peer.
    /// @param bytes Number of bytes.
    /// @param now Current time.
    /// @return MessageTooLarge if the queue would exceed outputBytesMax.
    [[nodiscard]] Result<void> recordQueued(std::size_t bytes, Instant now);

    /// @brief Bytes queued for the peer.
    [[nodiscard]] std::size_t outputBytes() const noexcept { return outputBytes_; }

    /// @brief Records that bytes were written to the peer.
    /// @param bytes Number of bytes.
    /// @param now Current time.
    void recordWritten(std::size_t bytes, Instant now) noexcept;

    /// @brief Time at which the connection is to be closed unless there is progress.
    /// @return std::nullopt if no frame is incomplete and nothing is queued.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief Checks the deadlines.
    /// @param now Current time.
    /// @return DeadlineExceeded if the peer was too slow.
    [[nodiscard]] Result<void> check(Instant now) const;

private:
    StreamLimits limits_;
    std::size_t outputBytes_ = 0;
    std::optional<Instant> frameDeadline_{};
    std::optional<Instant> writeDeadline_{};
};

} // namespace hyssoprock
