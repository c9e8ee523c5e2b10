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
/// @brief One accepted connection: a caller, or a replica that fetches.

namespace hyssoprock::endpoint {

class Server;

/// @brief Reads messages from a socket, runs them one after another and writes the answers.
///
/// Callers and replicas use the same port. The first eight bytes tell them apart: bytes five and
/// six are the version of a frame (1) or the major protocol version of PostgreSQL (3).
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Server &server, boost::asio::ip::tcp::socket socket);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// @brief Starts to read.
    void start();
    /// @brief Closes the socket; a transaction is rolled back.
    void close();
    /// @brief Tries a statement again that waits for a table.
    void retryTable();
    /// @brief Answers a parked fetch of a replica if there is news.
    void retryFetch();
    /// @brief Ends a wait for a table if the key is the one of this session.
    void cancel(std::uint32_t processId, std::uint32_t secretKey);

private:
    enum class Kind : std::uint8_t { Unknown, Caller, Replica };

    void read();
    void received(std::string_view bytes);
    void choose();
    void pump();
    void dispatch(pgwire::FrontendMessage message);
    void startSession(const pgwire::StartupMessage &message);
    [[nodiscard]] bool admit(const pgwire::StartupMessage &message);
    void runInSlot(pgwire::FrontendMessage message);
    void finished(WireSession::Step step);
    void waitForTable();
    void tableWaitOver(const pgwire::Notice &reason);
    void leaveSlot();
    void updateInFlight();
    void send(bool thenClose);
    void write(std::string bytes, bool thenClose);
    void pumpFrames();

    Server &server_;
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 16384> buffer_{};
    std::string opening_; ///< First bytes, until the kind is known.
    Kind kind_ = Kind::Unknown;
    bool closed_ = false;
    bool reading_ = false;
    bool busy_ = false;

    std::uint32_t processId_;
    std::uint32_t secretKey_;
    pgwire::FrontendDecoder decoder_;
    WireSession session_;
    bool administrative_ = false;
    bool counted_ = false;
    bool holdsSlot_ = false;
    bool inFlight_ = false;
    bool waitsForTable_ = false;
    bool answersStatement_ = false; ///< The next output is an ordinary session's answer.
    boost::asio::steady_timer timer_;

    FrameReader frames_;
    std::optional<ReplicaFetch> parked_;
};

} // namespace hyssoprock::endpoint
