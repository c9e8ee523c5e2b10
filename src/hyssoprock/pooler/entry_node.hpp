#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/pooler/caller_connection.hpp>
#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/pooler/connection_owner.hpp>
#include <hyssoprock/pooler/control_subscription.hpp>
#include <hyssoprock/pooler/endpoint_connection.hpp>
#include <hyssoprock/pooler/pooler_metrics.hpp>
#include <hyssoprock/pooler/process_limits.hpp>
#include <hyssoprock/pooling/pooler.hpp>
#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief Entry role of the pooled deployment: a Pooler with its connections.

namespace hyssoprock {

/// @brief Accepts callers, runs a Pooler and executes its actions. Used on one I/O thread.
class PooledEntryNode : private ConnectionOwner
{
public:
    /// @param context I/O context; must be stopped before this object is destroyed.
    /// @param settings Validated settings with the role `entry`.
    /// @param codecs Must outlive this object.
    /// @param seed Seed of reconnect jitter and endpoint choices.
    PooledEntryNode(boost::asio::io_context &context, const PooledSettings &settings,
                    const CodecFactory &codecs, std::uint64_t seed);
    ~PooledEntryNode() override;

    /// @brief Starts listening for callers and connects to the control hosts.
    /// @return The bound caller address, or Unreachable.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Whether callers can be served.
    /// @return False without a document and after stop().
    [[nodiscard]] bool ready() const noexcept;

    /// @brief Returns the metrics of this host in the Prometheus text format.
    /// @return Without the Pooler's counters if no metrics address is configured.
    [[nodiscard]] std::string metricsText() const;

    void setSeeds(const SeedSettings &seeds) { subscription_.setSeeds(seeds); }

    /// @brief Waits for open transactions, then closes all callers. Completes before the configured
    /// grace period ends.
    /// @param stopped Called once.
    void stop(std::function<void()> stopped);

private:
    void post(PoolerEvent event) override;
    void callerClosed(CallerId caller) override;
    [[nodiscard]] bool chargeMemory(CallerId caller, std::size_t bytes) override;
    void callerTimedOut(std::string_view what) override;
    [[nodiscard]] std::span<char> readBuffer() noexcept override { return readBuffer_; }

    void handleAccept(boost::asio::ip::tcp::socket socket);
    void refuseConnection(boost::asio::ip::tcp::socket socket, const char *reason);
    void closeForMemory(std::vector<CallerId> callers);
    void reviewMemory();
    void logLimit(const std::string &text);
    void processEvents();
    /// Updates sessions_ and connections_; false if the event refers to one that is already closed.
    [[nodiscard]] bool updateTables(const PoolerEvent &event);
    void execute(PoolerActions actions);
    void execute(pooler::AcceptCaller &action);
    void execute(pooler::RefuseCaller &action);
    void execute(pooler::AnswerCaller &action);
    void execute(pooler::CloseCaller &action);
    void execute(pooler::OpenConnection &action);
    void execute(pooler::SendCommand &action);
    void execute(pooler::CloseConnection &action);
    void execute(pooler::ReportEvidence &action);
    void execute(pooler::PrimaryReleased &action);
    void execute(pooler::RequestAllowance &action);
    void execute(pooler::LogDecision &action);
    void execute(pooler::ShutdownFinished &action);
    [[nodiscard]] std::shared_ptr<PooledCallerConnection> callerToFlush(CallerId caller);
    void flush();
    void armTimer();
    void handleDeadline();
    void closeListener();
    void finishStop();

    static constexpr std::size_t readBufferBytes = std::size_t{16} * 1024;

    boost::asio::io_context &context_;
    std::string name_;
    std::string callersAddress_;
    Duration gracePeriod_;
    const CodecFactory &codecs_;
    ProcessLimits limits_;
    CallerTimeouts timeouts_;
    MemoryBudget memory_;
    Pooler pooler_;
    TcpListener listener_;
    ControlSubscription subscription_;
    DeadlineTimer timer_;
    std::optional<Instant> armedDeadline_{}; ///< Deadline that timer_ is set to.
    DeadlineTimer stopTimer_;
    DeadlineTimer memoryTimer_;
    bool memoryTimerArmed_ = false;
    std::size_t memoryPeak_ = 0;                    ///< Of memory_ since memory was last returned.
    std::unordered_set<CallerId> stoppedCallers_{}; ///< Callers that are not read from.
    CallerLimitCounters limitCounters_{};
    Instant limitLoggedAt_{};
    std::uint64_t limitsNotLogged_ = 0; ///< Decisions since the last line.
    std::deque<PoolerEvent> events_{};
    bool processing_ = false;
    CallerId lastCallerId_ = 0;
    std::unordered_map<CallerId, std::shared_ptr<PooledCallerConnection>>
        callers_{};                           ///< Open sockets.
    std::unordered_set<CallerId> sessions_{}; ///< Callers known to the Pooler.
    std::unordered_map<ConnectionId, std::shared_ptr<EndpointConnection>> connections_{};
    std::vector<std::shared_ptr<PooledCallerConnection>> callersToFlush_{};
    std::vector<std::shared_ptr<EndpointConnection>> connectionsToFlush_{};
    std::function<void()> stopCallback_{};
    bool stopping_ = false;
    bool shutdownFinished_ = false;
    std::array<char, readBufferBytes> readBuffer_{};
};

} // namespace hyssoprock
