#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/routing/endpoint_report.hpp>
#include <hyssoprock/transport/pg_connection.hpp>

/// @file
/// @brief Connection to an endpoint for administrative calls, opened on demand.

namespace hyssoprock {

/// @brief Runs administrative statements in sequence on one connection.
///
/// A call that exceeds its timeout closes the connection; the next call opens a new one.
class StatusConnection
{
public:
    using AnswerCallback = std::function<void(Result<PgAnswer>)>;

    /// @param context I/O context.
    /// @param target Endpoint; the application name selects the reserved connections.
    StatusConnection(boost::asio::io_context &context, PgTarget target);
    StatusConnection(const StatusConnection &) = delete;
    StatusConnection &operator=(const StatusConnection &) = delete;
    ~StatusConnection();

    /// @brief Runs a statement after all queued calls.
    /// @param sql Statement.
    /// @param timeout Timeout of the call, including the time in the queue.
    /// @param done Called exactly once, unless this object is destroyed before.
    void call(std::string sql, Duration timeout, AnswerCallback done);

    /// @brief Report received with the latest answer.
    /// @return Empty report if there is no connection.
    [[nodiscard]] EndpointReport report() const;

    /// @brief Number of queued and running calls.
    [[nodiscard]] std::size_t pendingCount() const noexcept
    {
        return queue_.size() + (running_ ? 1 : 0);
    }

private:
    struct Call
    {
        std::string sql;
        Instant deadline;
        AnswerCallback done;
    };

    void startNextCall();
    void expireQueued();
    void completeCall(Result<PgAnswer> result);

    boost::asio::io_context &context_;
    PgTarget target_;
    std::shared_ptr<PgConnection> connection_{};
    std::deque<Call> queue_{};
    std::optional<Call> running_{};
    DeadlineTimer timer_;
    std::shared_ptr<StatusConnection *> alive_;
};

} // namespace hyssoprock
