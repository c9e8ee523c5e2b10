#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/time.hpp>

struct pg_conn;

/// @file
/// @brief Asynchronous libpq connection.

namespace hyssoprock::load {

/// @brief Result of one simple query.
struct QueryResult
{
    bool connectionLost = false; ///< The connection failed or timed out and must be closed.
    std::string sqlState;        ///< SQLSTATE of the first error; empty if there was none.
    std::string message;         ///< Message of the first error.
    std::vector<std::vector<std::optional<std::string>>> rows; ///< Of the last result set.
};

/// @brief Non-blocking libpq connection with one query at a time. Asio waits for its socket.
class PgConnection : public std::enable_shared_from_this<PgConnection>
{
public:
    /// @param context Runs the callbacks; must outlive the connection.
    /// @param timeout Timeout of the connection attempt and of each query.
    PgConnection(boost::asio::io_context &context, Duration timeout);
    PgConnection(const PgConnection &) = delete;
    PgConnection &operator=(const PgConnection &) = delete;
    ~PgConnection();

    /// @brief Starts to connect.
    /// @param conninfo Connection string. Its hostaddr must be numeric, since a name lookup would
    /// block.
    /// @param done Receives an empty string, or an error message.
    void connect(const std::string &conninfo, std::function<void(std::string)> done);

    /// @brief Sends a simple query.
    /// @param text One or more statements.
    /// @param done Receives the complete result.
    void query(const std::string &text, std::function<void(QueryResult)> done);

    /// @brief Latest value that the server reported for a parameter.
    /// @return Empty if none was reported.
    [[nodiscard]] std::string parameter(const char *name) const;

    /// @brief Closes the connection without calling a pending callback.
    void close();

private:
    void pollConnect();
    void flush();
    void waitForInput();
    void collectResults();
    void finishConnect(std::string error);
    void finishQuery(bool connectionLost);
    void startTimeout();
    [[nodiscard]] bool watchSocket();

    boost::asio::posix::stream_descriptor descriptor_;
    boost::asio::steady_timer timer_;
    Duration timeout_;
    pg_conn *connection_ = nullptr;
    std::function<void(std::string)> connectCallback_;
    std::function<void(QueryResult)> queryCallback_;
    QueryResult result_;
};

} // namespace hyssoprock::load
