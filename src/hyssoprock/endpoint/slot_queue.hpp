#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

/// @file
/// @brief Statement slots.

namespace hyssoprock::endpoint {

/// @brief Lets a limited number of statements run; the others wait in order of arrival.
class SlotQueue
{
public:
    /// @param slots Number of slots, at least 1.
    explicit SlotQueue(std::uint32_t slots) noexcept
        : free_{slots}
    {}

    /// @brief Calls a function as soon as it has a slot, perhaps at once.
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

    /// @brief Gives a slot back, and with it starts the next statement that waits.
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

    /// @brief Statements that wait for a slot.
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    std::uint32_t free_;
    std::deque<std::function<void()>> waiting_;
};

} // namespace hyssoprock::endpoint
