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
/// @brief Queue of the requests that wait for a connection to one endpoint.

namespace hyssoprock {

/// @brief A request in the queue.
struct WaitingRequest
{
    std::uint64_t id = 0; ///< Chosen by the owner of the queue; unique in it.
    std::string caller;   ///< Who shares the endpoint with others.
    Instant deadline{};   ///< Latest time at which it may start.

    [[nodiscard]] bool operator==(const WaitingRequest &) const = default;
};

/// @brief Outcome of offering a request.
struct OfferResult
{
    ErrorKind kind = ErrorKind::None;       ///< None if it waits, otherwise why it is refused.
    std::optional<std::uint64_t> displaced; ///< Request that had to leave in its place.

    [[nodiscard]] bool operator==(const OfferResult &) const = default;
};

/// @brief Bounded queue that serves callers in turn, whatever the number of their requests.
///
/// Callers are served round robin, each in order of arrival. When the queue is full, the newest
/// request of the caller with the most waiting requests gives way, so that a burst of one caller
/// cannot keep the others out. A request whose estimated wait is past its deadline is refused at
/// once: waiting could only delay the refusal.
class AdmissionQueue
{
public:
    /// @brief Starts empty.
    /// @param capacity Requests that may wait, at least 1.
    explicit AdmissionQueue(std::size_t capacity) noexcept
        : capacity_{capacity}
    {}

    /// @brief Adds a request or refuses it.
    /// @param request The request.
    /// @param now Present time.
    /// @return QueueFull or DeadlineExceeded if it is refused.
    [[nodiscard]] OfferResult offer(const WaitingRequest &request, Instant now);

    /// @brief Takes the next request to serve.
    /// @param now Present time; requests past their deadline are passed over, see expire().
    /// @return Its id, or nothing if none waits.
    [[nodiscard]] std::optional<std::uint64_t> take(Instant now);

    /// @brief Removes all requests that are past their deadline.
    /// @param now Present time.
    /// @return Their ids, in order of deadline within each caller.
    [[nodiscard]] std::vector<std::uint64_t> expire(Instant now);

    /// @brief Removes one request, for example because its caller has gone.
    /// @param id Its id.
    /// @return Whether it was waiting.
    bool remove(std::uint64_t id);

    /// @brief Removes all requests.
    /// @return Their ids.
    [[nodiscard]] std::vector<std::uint64_t> clear();

    /// @brief Learns how long a request holds a connection.
    /// @param duration Time from taking to finishing.
    void recordServiceTime(Duration duration) noexcept;

    /// @brief Sets how many requests are served at the same time.
    /// @param servers Connections, at least 1 for an estimate to be made.
    void setServerCount(std::uint32_t servers) noexcept { servers_ = servers; }

    /// @brief Estimated wait of a request that a caller adds now.
    /// @param caller Name of the caller.
    /// @return The estimate; zero while nothing is known of service times.
    [[nodiscard]] Duration estimatedWait(const std::string &caller) const;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

    /// @brief Earliest deadline of a waiting request.
    /// @return The time, or nothing if none waits.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

private:
    using CallerQueue = std::deque<WaitingRequest>;
    using Callers = std::map<std::string, CallerQueue, std::less<>>;

    [[nodiscard]] Callers::iterator longest();
    void eraseIfEmpty(Callers::iterator caller);

    std::size_t capacity_;
    std::size_t size_ = 0;
    std::uint32_t servers_ = 0;
    Duration meanService_{};
    Callers callers_;
    std::string lastServed_;
};

} // namespace hyssoprock
