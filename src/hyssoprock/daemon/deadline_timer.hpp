#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/transport/monotonic_clock.hpp>

/// @file
/// @brief Timer for the next deadline of a state machine.

namespace hyssoprock {

/// @brief Calls a function at a deadline that can be changed. It is not called after destruction.
class DeadlineTimer
{
public:
    /// @brief Creates an inactive timer; see set().
    /// @param context I/O context.
    /// @param expired Called when the deadline is reached.
    DeadlineTimer(boost::asio::io_context &context, std::function<void()> expired)
        : state_{std::make_shared<State>(context, std::move(expired))}
    {}
    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;
    ~DeadlineTimer()
    {
        state_->dead = true;
        state_->timer.cancel();
    }

    /// @brief Changes the deadline.
    /// @param deadline New deadline; std::nullopt stops the timer.
    void set(std::optional<Instant> deadline)
    {
        if (deadline == state_->deadline) {
            return;
        }
        state_->deadline = deadline;
        if (!deadline) {
            state_->timer.cancel();
            return;
        }
        state_->timer.expires_after(remainingUntil(*deadline));
        state_->timer.async_wait(
            [state = state_, deadline](const boost::system::error_code &error) {
                // A wait that expired before its deadline was changed still reports success.
                if (error || state->dead || state->deadline != deadline) {
                    return;
                }
                state->deadline.reset();
                state->expired();
            });
    }

private:
    struct State
    {
        State(boost::asio::io_context &context, std::function<void()> function)
            : timer{context}
            , expired{std::move(function)}
        {}
        boost::asio::steady_timer timer;
        std::function<void()> expired;
        std::optional<Instant> deadline{};
        bool dead = false;
    };

    std::shared_ptr<State> state_;
};

} // namespace hyssoprock
