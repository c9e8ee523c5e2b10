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
/// @brief Asynchronous connection to an endpoint through libpq, watched by Boost.Asio.

namespace hyssoprock {

/// @brief Where and as whom to connect.
struct PgTarget
{
    SocketAddress address{};       ///< Address of the endpoint.
    std::string database{};        ///< Database name.
    std::string user{};            ///< User name.
    std::string applicationName{}; ///< Names the purpose; some use reserved connections.
};

/// @brief A connection that runs one simple query at a time. Used on one I/O thread.
///
/// After a timeout or any other failure it is closed and never used again, so that a late answer
/// cannot reach another request.
class PgConnection : public std::enable_shared_from_this<PgConnection>
{
public:
    using Connected = std::function<void(Result<void>)>;
    using Answered = std::function<void(Result<PgAnswer>)>;
    using Closed = std::function<void(const Error &)>;
    /// Rows of statement number `index`; reading stops until continueReading().
    using Part = std::function<void(std::uint32_t index, PgStatement part)>;

    /// @brief Creates a connection that is not open yet.
    /// @param context I/O context.
    /// @param target Where to connect.
    /// @return The connection.
    [[nodiscard]] static std::shared_ptr<PgConnection> create(boost::asio::io_context &context,
                                                              PgTarget target);

    PgConnection(const PgConnection &) = delete;
    PgConnection &operator=(const PgConnection &) = delete;
    ~PgConnection();

    /// @brief Connects. Called once.
    /// @param timeout Longest wait.
    /// @param connected Gets success, Unreachable, TooManyConnections or DeadlineExceeded.
    void connect(Duration timeout, Connected connected);

    /// @brief Runs a simple query on an idle connection.
    /// @param sql Text of the query.
    /// @param timeout Longest wait for the complete answer.
    /// @param answered Gets the answer; or Unreachable, DeadlineExceeded, MessageTooLarge or
    /// NotSupported, after each of which the query may have run and the connection is closed.
    void query(const std::string &sql, Duration timeout, Answered answered);

    /// @brief Lets the next query pass rows on before its answer is complete.
    /// @param bytes Size of the values held back until then.
    /// @param part Called once the size is exceeded, and again for each further part.
    void streamAbove(std::size_t bytes, Part part);

    /// @brief Reads on after a part.
    void continueReading();

    /// @brief Sets what is called when an idle connection is closed by the endpoint.
    /// @param closed Called at most once.
    void onClosed(Closed closed) { closed_ = std::move(closed); }

    /// @brief Sets the largest answer that is accepted if it is not passed on in parts.
    /// @param bytes Size of all values.
    void limitAnswer(std::size_t bytes) noexcept { answerBytesMax_ = bytes; }

    /// @brief Newest ParameterStatus value of a name.
    /// @param name Parameter.
    /// @return Its value, or nothing if the endpoint never sent it.
    [[nodiscard]] std::optional<std::string> parameter(const char *name) const;

    /// @brief Whether a query can be sent now.
    /// @return True if connected and nothing is under way.
    [[nodiscard]] bool isIdle() const noexcept { return phase_ == Phase::Idle; }

    /// @brief Whether the connection is over.
    /// @return True after a failure or close().
    [[nodiscard]] bool isClosed() const noexcept { return phase_ == Phase::Closed; }

    /// @brief Closes; callbacks under way are dropped.
    void close();

    /// @brief Where it connects to.
    /// @return The target.
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
    void readable();
    void flush();
    void collect();
    void finishQuery();
    void addRow(const pg_result &result);
    void passOn();
    [[nodiscard]] Result<void> take(const pg_result &result);
    void armTimer(Duration timeout, const char *what);
    void fail(Error error);
    [[nodiscard]] std::string message() const;

    PgTarget target_;
    boost::asio::io_context &context_;
    std::unique_ptr<pg_conn, ConnectionDeleter> connection_{};
    boost::asio::posix::stream_descriptor descriptor_;
    boost::asio::steady_timer timer_;
    Phase phase_ = Phase::Created;
    Connected connected_{};
    Answered answered_{};
    Closed closed_{};
    PgAnswer answer_{};
    std::size_t answerBytesMax_;
    Part part_{};
    std::size_t streamBytes_ = 0;
    std::size_t bufferedBytes_ = 0;
    std::uint32_t passedOn_ = 0; ///< Complete statements that were passed on.
    bool statementOpen_ = false; ///< The last statement of answer_ gets further rows.
    bool paused_ = false;
    bool reading_ = false;
    bool writing_ = false;
};

} // namespace hyssoprock
