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
/// @brief Single-threaded server of the stand-in database instance.

namespace hyssoprock::endpoint {

class Connection;
class ReplicaLink;

/// @brief Accepts connections, announces the endpoint and applies injected faults.
///
/// The context must not run after the server has been destroyed.
class Server
{
public:
    /// @param context Runs all handlers; must outlive the server.
    /// @param settings Settings; an invalid address throws boost::system::system_error.
    /// @param journal Receives the durable changes; must outlive the server.
    Server(boost::asio::io_context &context, ServerSettings settings, Journal &journal);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

    /// @brief Starts accepting connections and announcing the endpoint.
    void start();

    /// @brief Listening address with the actual port, as IP:port.
    [[nodiscard]] std::string address() const;

    [[nodiscard]] Instant now() const;
    [[nodiscard]] Instance &instance() noexcept { return instance_; }
    [[nodiscard]] const ServerSettings &settings() const noexcept { return settings_; }
    [[nodiscard]] SlotQueue &slots() noexcept { return slots_; }
    [[nodiscard]] boost::asio::io_context &context() noexcept { return context_; }

    /// @brief Runs a function immediately, or when an injected stall ends.
    void runUnlessStalled(std::function<void()> function);
    /// @brief Runs a function immediately, or when an injected stall or cut-off ends.
    void runUnlessCutOff(std::function<void()> function);
    /// @brief Runs a function after a delay, extended to the end of an injected stall.
    void runAfter(Duration delay, std::function<void()> function);

    /// @brief Applies faults, updates replication and retries statements that wait for a table
    /// lock. Must be called after each statement and each answer from the primary.
    void handleStateChange();
    /// @brief Retries pending fetches if the log, the majority index or the role has changed.
    void notifyReplicas();

    /// @brief Registers a connection whose statement waits for a table lock.
    void addTableWaiter(const std::shared_ptr<Connection> &connection);
    /// @brief Cancels the waiting statement of the session with this process id and key.
    void cancel(std::uint32_t processId, std::uint32_t secretKey);

    /// @brief Process id for a new session.
    [[nodiscard]] std::uint32_t nextProcessId() noexcept { return ++lastProcessId_; }

    /// @brief Writes a line to standard error.
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
    boost::asio::ip::udp::socket announceSocket_;
    std::vector<boost::asio::ip::udp::endpoint> announceTargets_;
    boost::asio::steady_timer announceTimer_;
    boost::asio::steady_timer applyTimer_;
    boost::asio::steady_timer stallTimer_;
    boost::asio::steady_timer cutOffTimer_;
    std::vector<std::function<void()>> stalledFunctions_;
    std::vector<std::function<void()>> cutOffFunctions_;
    Instant handledCutOffUntil_{};
    std::list<std::weak_ptr<Connection>> connections_;
    std::list<std::weak_ptr<Connection>> tableWaiters_;
    std::unique_ptr<ReplicaLink> replicaLink_;
    std::uint32_t lastProcessId_ = 0;
    LogPosition notifiedLastPosition_{};
    std::uint64_t notifiedMajorityIndex_ = 0;
    Role notifiedRole_ = Role::Replica;
};

/// @brief Parses an address of the form "IP:port".
/// @param text For example 127.0.0.1:5432.
/// @return The address; throws boost::system::system_error if the text is invalid.
[[nodiscard]] boost::asio::ip::tcp::endpoint parseAddress(std::string_view text);

} // namespace hyssoprock::endpoint
