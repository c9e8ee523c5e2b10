#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/endpoint/instance.hpp>
#include <hyssoprock/endpoint/server_settings.hpp>
#include <hyssoprock/endpoint/slot_queue.hpp>

/// @file
/// @brief Sockets and timers of the stand-in, all on one thread.

namespace hyssoprock::endpoint {

class Connection;
class ReplicaLink;

/// @brief Accepts connections, announces the endpoint and lets faults take effect.
///
/// The context must not run any more once the server is gone.
class Server
{
public:
    /// @param context Runs everything; must outlive the server.
    /// @param settings Settings; the addresses must be valid or the constructor throws.
    /// @param journal Where durable changes go; must outlive the server.
    Server(boost::asio::io_context &context, ServerSettings settings, Journal &journal);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    /// @brief Starts to accept and to announce.
    void start();

    /// @brief Address that the server listens on, with the real port.
    [[nodiscard]] std::string address() const;

    [[nodiscard]] Instant now() const;
    [[nodiscard]] Instance &instance() noexcept { return instance_; }
    [[nodiscard]] const ServerSettings &settings() const noexcept { return settings_; }
    [[nodiscard]] SlotQueue &slots() noexcept { return slots_; }
    [[nodiscard]] boost::asio::io_context &context() noexcept { return context_; }

    /// @brief Runs a function now, or after the stall if the process is stalled.
    void whenRunning(std::function<void()> function);
    /// @brief Runs a function now, or after the stall or cut if there is one.
    void whenReachable(std::function<void()> function);
    /// @brief Runs a function after a time, and after a stall that falls into it.
    void after(Duration delay, std::function<void()> function);

    /// @brief To be called after each statement: starts what it has made possible or necessary.
    void afterStatement();
    /// @brief To be called when a replica's fetch may have moved the majority index.
    void notifyReplicas();

    /// @brief Notes a connection whose statement waits for a table.
    void addTableWaiter(const std::shared_ptr<Connection> &connection);
    /// @brief Ends the wait of another connection's statement.
    void cancel(std::uint32_t processId, std::uint32_t secretKey);

    /// @brief Number for the next session.
    [[nodiscard]] std::uint32_t nextProcessId() noexcept { return ++lastProcessId_; }

    /// @brief Writes a line to the log.
    static void log(std::string_view text);

private:
    void accept();
    void announce();
    void armApplyTimer();
    void armDeferred();
    void runDeferred();
    void applyFaults();
    void closeAll();

    boost::asio::io_context &context_;
    ServerSettings settings_;
    Instance instance_;
    SlotQueue slots_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::udp::socket announcer_;
    std::vector<boost::asio::ip::udp::endpoint> announceTo_;
    boost::asio::steady_timer announceTimer_;
    boost::asio::steady_timer applyTimer_;
    boost::asio::steady_timer stallTimer_;
    boost::asio::steady_timer cutOffTimer_;
    std::vector<std::function<void()>> afterStall_;
    std::vector<std::function<void()>> afterCutOff_;
    Instant cutOffHandled_{};
    std::list<std::weak_ptr<Connection>> connections_;
    std::list<std::weak_ptr<Connection>> tableWaiters_;
    std::unique_ptr<ReplicaLink> replicaLink_;
    std::uint32_t lastProcessId_ = 0;
    LogPosition notifiedLast_{};
    std::uint64_t notifiedMajority_ = 0;
    Role notifiedRole_ = Role::Replica;
};

/// @brief Reads "IP:port".
/// @param text For example 127.0.0.1:5432.
/// @return The endpoint; throws boost::system::system_error if the text is not one.
[[nodiscard]] boost::asio::ip::tcp::endpoint parseAddress(std::string_view text);

} // namespace hyssoprock::endpoint
