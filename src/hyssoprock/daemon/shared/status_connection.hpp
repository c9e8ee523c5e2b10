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
/// @brief A connection to an endpoint for administrative calls, opened when it is needed.

namespace hyssoprock {

/// @brief Runs administrative statements one after the other on one connection.
///
/// A call that does not end in time closes the connection; the next call opens a new one.
class StatusConnection
{
public:
    using Done = std::function<void(Result<PgAnswer>)>;

    /// @brief Opens nothing yet.
    /// @param context I/O context.
    /// @param target Endpoint; the application name chooses the reserved connections.
    StatusConnection(boost::asio::io_context &context, PgTarget target);
    StatusConnection(const StatusConnection &) = delete;
    StatusConnection &operator=(const StatusConnection &) = delete;
    ~StatusConnection();

    /// @brief Runs a statement after those that wait.
    /// @param sql The statement.
    /// @param timeout Time from now until the call has failed.
    /// @param done Called exactly once unless this object is destroyed before.
    void call(std::string sql, Duration timeout, Done done);

    /// @brief Positions that came with the newest answer.
    /// @return Empty while there is no connection.
    [[nodiscard]] EndpointReport report() const;

    /// @brief Calls that wait or run.
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return waiting_.size() + (running_ ? 1 : 0);
    }

private:
    struct Call
    {
        std::string sql;
        Instant deadline;
        Done done;
    };

    void next();
    void expire();
    void finish(Result<PgAnswer> result);

    boost::asio::io_context &context_;
    PgTarget target_;
    std::shared_ptr<PgConnection> connection_{};
    std::deque<Call> waiting_{};
    std::optional<Call> running_{};
    DeadlineTimer timer_;
    std::shared_ptr<StatusConnection *> alive_;
};

} // namespace hyssoprock
