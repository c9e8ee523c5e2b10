#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/core/time.hpp>

/// @file
/// @brief Queue of requests that wait for a connection to one endpoint.

namespace hyssoprock {

/// @brief A request in the queue.
struct WaitingRequest
{
    std::uint64_t id = 0; ///< Assigned by the owner of the queue; unique in it.
    std::string caller;   ///< Name of the caller, the unit of fairness.
    Instant deadline{};   ///< Latest time at which it may start.

    [[nodiscard]] bool operator==(const WaitingRequest &) const = default;
};

/// @brief Result of AdmissionQueue::offer().
struct OfferResult
{
    ErrorKind kind = ErrorKind::None; ///< None if it was queued, otherwise why it was refused.
    std::optional<std::uint64_t> displaced; ///< Request that was removed to make room.

    [[nodiscard]] bool operator==(const OfferResult &) const = default;
};

/// @brief Bounded queue that is fair between callers.
///
/// Callers are served round robin, and the requests of each in order of arrival. When the queue is
/// full, the newest request of the caller with the most waiting requests is displaced, so that a
/// burst of one caller cannot lock out the others. A request whose estimated wait exceeds its
/// deadline is refused immediately, because waiting would only delay the refusal.
class AdmissionQueue
{
public:
    /// @param capacity Number of requests that may wait; at least 1.
    explicit AdmissionQueue(std::size_t capacity) noexcept
        : capacity_{capacity}
    {}

    /// @brief Adds a request, or refuses it with QueueFull or DeadlineExceeded.
    /// @param now Current time.
    [[nodiscard]] OfferResult offer(const WaitingRequest &request, Instant now);

    /// @brief Removes the next request to serve.
    /// @param now Current time; requests past their deadline are skipped, see expire().
    /// @return Its id; empty if none waits.
    [[nodiscard]] std::optional<std::uint64_t> take(Instant now);

    /// @brief Removes all requests that are past their deadline.
    /// @param now Current time.
    /// @return Their ids, in order of deadline within each caller.
    [[nodiscard]] std::vector<std::uint64_t> expire(Instant now);

    /// @brief Removes one request, for example because its caller has disconnected.
    /// @return Whether it was waiting.
    bool remove(std::uint64_t id);

    /// @brief Removes all requests.
    /// @return Their ids.
    [[nodiscard]] std::vector<std::uint64_t> clear();

    /// @brief Updates the mean time for which a request holds a connection.
    /// @param duration Time from take() to the end of the request.
    void recordServiceTime(Duration duration) noexcept;

    /// @brief Sets how many requests are served concurrently.
    /// @param servers Number of connections; without any, estimatedWait() is zero.
    void setServerCount(std::uint32_t servers) noexcept { serverCount_ = servers; }

    /// @brief Estimated wait of a caller's next request; zero before the first service time.
    /// @param caller Name of the caller.
    [[nodiscard]] Duration estimatedWait(const std::string &caller) const;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

    /// @brief Earliest deadline of a waiting request; empty if none waits.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

private:
    using CallerQueue = std::deque<WaitingRequest>;
    using Callers = std::map<std::string, CallerQueue, std::less<>>;

    [[nodiscard]] Callers::iterator longestQueue();
    void eraseIfEmpty(Callers::iterator caller);

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::uint32_t serverCount_ = 0;
    Duration meanServiceTime_{};
    Callers callers_;
    std::string lastServed_;
};

} // namespace hyssoprock
