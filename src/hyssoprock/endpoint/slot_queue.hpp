#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

/// @file
/// @brief Concurrency limit for statements.

namespace hyssoprock::endpoint {

/// @brief Limits the number of concurrent statements; others wait in FIFO order.
class SlotQueue
{
public:
    /// @param slots Number of slots, at least 1.
    explicit SlotQueue(std::uint32_t slots) noexcept
        : free_{slots}
    {}

    /// @brief Calls a function when a slot is free, possibly immediately.
    /// @param start Must lead to one call of release().
    void acquire(std::function<void()> start)
    {
        if (free_ == 0) {
            waiting_.push_back(std::move(start));
            return;
        }
        --free_;
        start();
    }

    /// @brief Releases a slot, or passes it to the next waiting statement.
    void release()
    {
        if (waiting_.empty()) {
            ++free_;
            return;
        }
        auto start = std::move(waiting_.front());
        waiting_.pop_front();
        start();
    }

    /// @brief Number of statements that wait for a slot.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    std::uint32_t free_;
    std::deque<std::function<void()>> waiting_;
};

} // namespace hyssoprock::endpoint
