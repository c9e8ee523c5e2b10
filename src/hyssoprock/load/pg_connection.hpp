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

/// @brief Answer to one simple query.
struct Answer
{
    bool broken = false; ///< The connection broke or timed out; it is of no use any more.
    std::string state;   ///< SQLSTATE of the first error; empty if there was none.
    std::string message; ///< Message of the first error.
    std::vector<std::vector<std::optional<std::string>>> rows; ///< Of the last result with rows.
};

/// @brief One connection, one query at a time. libpq never blocks here; Asio watches its socket.
class PgConnection : public std::enable_shared_from_this<PgConnection>
{
public:
    /// @param context Runs the callbacks; must outlive the connection.
    /// @param timeout Longest time for connecting and for each answer.
    PgConnection(boost::asio::io_context &context, Duration timeout);
    PgConnection(const PgConnection &) = delete;
    PgConnection &operator=(const PgConnection &) = delete;
    ~PgConnection();

    /// @brief Connects.
    /// @param info Connection string with a numeric hostaddr, so that no name is looked up.
    /// @param done Gets an empty text, or what went wrong.
    void connect(const std::string &info, std::function<void(std::string)> done);

    /// @brief Sends a simple query.
    /// @param text One or more statements.
    /// @param done Gets the answer once it is complete.
    void query(const std::string &text, std::function<void(Answer)> done);

    /// @brief Value that the server reported last for a parameter.
    /// @return Empty if it never did.
    [[nodiscard]] std::string parameter(const char *name) const;

    /// @brief Closes the connection; a pending callback is not called.
    void close();

private:
    void pollConnect();
    void flush();
    void readMore();
    void collect();
    void finishConnect(std::string error);
    void finishQuery(bool broken);
    void armTimeout();
    [[nodiscard]] bool attach();

    boost::asio::posix::stream_descriptor descriptor_;
    boost::asio::steady_timer timer_;
    Duration timeout_;
    pg_conn *connection_ = nullptr;
    std::function<void(std::string)> connected_;
    std::function<void(Answer)> answered_;
    Answer answer_;
};

} // namespace hyssoprock::load
