#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/transport/pg_answer.hpp>

struct pg_conn;
struct pg_result;

/// @file
/// @brief Asynchronous connection to an endpoint, with libpq and Boost.Asio.

namespace hyssoprock {

/// @brief Connection parameters.
struct PgTarget
{
    SocketAddress address{};       ///< Address of the endpoint.
    std::string database{};        ///< Database name.
    std::string user{};            ///< User name.
    std::string applicationName{}; ///< Purpose; some have reserved connections.
};

/// @brief Runs one simple query at a time. Not thread-safe: use on one I/O thread.
///
/// A timeout or any other failure closes the connection permanently, so that a late answer cannot
/// be taken for that of another request.
class PgConnection : public std::enable_shared_from_this<PgConnection>
{
public:
    using ConnectCallback = std::function<void(Result<void>)>;
    using AnswerCallback = std::function<void(Result<PgAnswer>)>;
    using CloseCallback = std::function<void(const Error &)>;
    /// Receives rows of the statement at `index`; reading stops until resumeReading().
    using PartCallback = std::function<void(std::uint32_t index, PgStatementResult part)>;

    /// @brief Creates an unconnected instance.
    /// @param context I/O context.
    /// @param target Connection parameters.
    [[nodiscard]] static std::shared_ptr<PgConnection> create(boost::asio::io_context &context,
                                                              PgTarget target);

    PgConnection(const PgConnection &) = delete;
    PgConnection &operator=(const PgConnection &) = delete;
    ~PgConnection();

    /// @brief Connects. May be called only once.
    /// @param timeout Time limit.
    /// @param connected Receives success, Unreachable, TooManyConnections or DeadlineExceeded.
    void connect(Duration timeout, ConnectCallback connected);

    /// @brief Runs a simple query on an idle connection.
    /// @param sql Text of the query.
    /// @param timeout Time limit for the complete answer.
    /// @param answered Receives the answer; or Unreachable, DeadlineExceeded, MessageTooLarge or
    /// NotSupported, after which the connection is closed and the query may have been executed.
    void query(const std::string &sql, Duration timeout, AnswerCallback answered);

    /// @brief Streams the rows of the next query if its answer exceeds a size.
    /// @param bytes Total size of the values that are buffered before they are passed on.
    /// @param part Called each time the buffered values exceed the size.
    void enableStreaming(std::size_t bytes, PartCallback part);

    /// @brief Resumes reading after a PartCallback.
    void resumeReading();

    /// @brief Sets the callback for a connection that fails or is closed by the endpoint.
    /// @param closed Called at most once, and not after close().
    void onClosed(CloseCallback closed) { closeCallback_ = std::move(closed); }

    /// @brief Sets the maximum size of an answer that is not streamed.
    /// @param bytes Total size of all values.
    void setAnswerBytesMax(std::size_t bytes) noexcept { answerBytesMax_ = bytes; }

    /// @brief Latest ParameterStatus value of a parameter.
    /// @param name Name of the parameter.
    /// @return Its value; std::nullopt if the endpoint did not report it.
    [[nodiscard]] std::optional<std::string> parameter(const char *name) const;

    /// @brief Whether the connection is established and no query is in progress.
    [[nodiscard]] bool isIdle() const noexcept { return phase_ == Phase::Idle; }

    /// @brief Whether the connection has failed or was closed.
    [[nodiscard]] bool isClosed() const noexcept { return phase_ == Phase::Closed; }

    /// @brief Closes the connection; pending callbacks are not called.
    void close();

    [[nodiscard]] const PgTarget &target() const noexcept { return target_; }

private:
    enum class Phase : std::uint8_t { Created, Connecting, Idle, Querying, Closed };
    struct ConnectionDeleter
    {
        void operator()(pg_conn *connection) const noexcept;
    };

    PgConnection(boost::asio::io_context &context, PgTarget target);

    bool watchSocket();
    void pollConnect();
    void waitReadable();
    void waitWritable();
    void handleReadable();
    void flush();
    void readResults();
    void completeQuery();
    void addRow(const pg_result &result);
    void emitPart();
    [[nodiscard]] Result<void> handleResult(const pg_result &result);
    void armTimer(Duration timeout, const char *what);
    void fail(Error error);
    [[nodiscard]] std::string errorMessage() const;

    PgTarget target_;
    boost::asio::io_context &context_;
    std::unique_ptr<pg_conn, ConnectionDeleter> connection_{};
    boost::asio::posix::stream_descriptor descriptor_;
    boost::asio::steady_timer timer_;
    Phase phase_ = Phase::Created;
    ConnectCallback connectCallback_{};
    AnswerCallback answerCallback_{};
    CloseCallback closeCallback_{};
    PgAnswer answer_{};
    std::size_t answerBytesMax_;
    PartCallback partCallback_{};
    std::size_t streamThresholdBytes_ = 0;
    std::size_t bufferedBytes_ = 0;
    std::uint32_t emittedCount_ = 0;   ///< Statements whose rows were passed on completely.
    bool statementIncomplete_ = false; ///< The last statement of answer_ may get more rows.
    bool readingPaused_ = false;
    bool awaitingReadable_ = false;
    bool awaitingWritable_ = false;
};

} // namespace hyssoprock
