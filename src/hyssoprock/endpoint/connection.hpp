#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/endpoint/wire_session.hpp>
#include <hyssoprock/pgwire/frontend_decoder.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Accepted connection of a caller or of a replica that fetches log entries.

namespace hyssoprock::endpoint {

class Server;

/// @brief Reads messages from a socket, runs them sequentially and writes the answers.
///
/// Callers and replicas use the same port. The first eight bytes distinguish them: bytes five and
/// six hold the frame version (1) or the major version of the PostgreSQL protocol (3).
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Server &server, boost::asio::ip::tcp::socket socket);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// @brief Starts reading and the timeout of the startup message.
    void start();
    /// @brief Closes the socket and rolls back an open transaction.
    void close();
    /// @brief Retries a statement that waits for a table lock.
    void retryBlockedStatement();
    /// @brief Answers a pending fetch of a replica if there is something to report.
    void answerPendingFetch();
    /// @brief Cancels a wait for a table lock if the process id and key match this session.
    void cancel(std::uint32_t processId, std::uint32_t secretKey);

private:
    enum class Kind : std::uint8_t { Unknown, Caller, Replica };

    void read();
    void handleBytes(std::string_view bytes);
    void detectKind();
    void handleNextMessage();
    void dispatch(pgwire::FrontendMessage message);
    void startSession(const pgwire::StartupMessage &message);
    [[nodiscard]] bool admit(const pgwire::StartupMessage &message);
    void runInSlot(pgwire::FrontendMessage message);
    void handleStep(WireSession::Step step);
    void waitForTable();
    void endTableWait(const pgwire::Notice &reason);
    void releaseSlot();
    void updateInFlight();
    void send(bool thenClose);
    void write(std::string bytes, bool thenClose);
    void handleNextFrame();

    Server &server_;
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 16384> buffer_{};
    std::string preamble_; ///< First bytes, buffered until the kind is known.
    Kind kind_ = Kind::Unknown;
    bool closed_ = false;
    bool reading_ = false;
    bool handlingMessage_ = false;

    std::uint32_t processId_;
    std::uint32_t secretKey_;
    pgwire::FrontendDecoder decoder_;
    WireSession session_;
    bool administrative_ = false;
    bool countedAsConnection_ = false;
    bool holdsSlot_ = false;
    bool inFlight_ = false;
    bool waitsForTable_ = false;
    bool answersStatement_ = false; ///< The next output answers a non-administrative statement.
    boost::asio::steady_timer timer_;

    FrameReader frames_;
    std::optional<ReplicaFetch> pendingFetch_;
};

} // namespace hyssoprock::endpoint
