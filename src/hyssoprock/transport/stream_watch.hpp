#pragma once

#include <cstddef>
#include <optional>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Deadlines and bounds that keep a slow peer from holding memory or a connection.

namespace hyssoprock {

/// @brief Bounds of one stream connection.
struct StreamLimits
{
    /// Time for a whole frame from its first byte. Bytes that trickle in do not extend it. A
    /// snapshot of 64 MB takes about 5 s at 100 Mbit/s.
    Duration frameTimeout = std::chrono::seconds{10};
    /// Time in which a peer must take at least one byte of what is queued for it.
    Duration writeTimeout = std::chrono::seconds{5};
    /// Bytes that may be queued for a peer.
    std::size_t outputBytesMax = std::size_t{128} * 1024 * 1024;
    /// Bytes that the kernel may hold for a peer; 0 leaves the choice to the kernel.
    int sendBufferBytes = 0;
};

/// @brief Judges a stream connection by its progress. Time is an argument.
class StreamWatch
{
public:
    /// @brief Starts with nothing received and nothing queued.
    /// @param limits Bounds.
    explicit StreamWatch(StreamLimits limits) noexcept
        : limits_{limits}
    {}

    /// @brief Notes that bytes have arrived and the frames in them were taken out.
    /// @param frameStarted Whether a frame ended with these bytes, or none was under way.
    /// @param midFrame Whether a frame is incomplete now.
    /// @param now Present time.
    void received(bool frameStarted, bool midFrame, Instant now) noexcept;

    /// @brief Notes that bytes were queued for the peer.
    /// @param bytes How many.
    /// @param now Present time.
    /// @return MessageTooLarge if the peer lets more pile up than the limit allows.
    [[nodiscard]] Result<void> queued(std::size_t bytes, Instant now);

    /// @brief Bytes that wait for the peer.
    [[nodiscard]] std::size_t outputBytes() const noexcept { return outputBytes_; }

    /// @brief Notes that the peer took bytes.
    /// @param bytes How many.
    /// @param now Present time.
    void written(std::size_t bytes, Instant now) noexcept;

    /// @brief Point at which the connection is to be closed unless there is progress.
    /// @return Nothing while the peer owes nothing.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// @brief Whether the peer was too slow.
    /// @param now Present time.
    /// @return DeadlineExceeded with the reason if so.
    [[nodiscard]] Result<void> check(Instant now) const;

private:
    StreamLimits limits_;
    std::size_t outputBytes_ = 0;
    std::optional<Instant> frameDeadline_{};
    std::optional<Instant> writeDeadline_{};
};

} // namespace hyssoprock
