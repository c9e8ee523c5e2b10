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
#include <hyssoprock/pooling/pooler.hpp>
#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief The entry role of the pooled deployment: a Pooler with its connections.

namespace hyssoprock {

/// @brief Accepts callers, runs a Pooler and keeps its connections. Used on one I/O thread.
class PooledEntryNode : private ConnectionOwner
{
public:
    /// @brief Does nothing until start().
    /// @param context I/O context; not run any more when this object is destroyed.
    /// @param settings Checked settings with the role entry.
    /// @param codecs Wire formats; outlives this object.
    /// @param seed Seed of jitter.
    PooledEntryNode(boost::asio::io_context &context, const PooledSettings &settings,
                    const CodecFactory &codecs, std::uint64_t seed);
    ~PooledEntryNode() override;

    /// @brief Listens for callers and connects to the control hosts.
    /// @return The callers' address with the real port, or Unreachable.
    [[nodiscard]] Result<SocketAddress> start();

    /// @brief Whether callers can be served.
    /// @return False without a document and from stop() on.
    [[nodiscard]] bool ready() const noexcept;

    /// @brief Metrics of this host.
    /// @return Prometheus text; without the Pooler's counters if no address is set for metrics.
    [[nodiscard]] std::string metricsText() const;

    /// @brief Replaces the seeds.
    /// @param seeds Checked settings.
    void setSeeds(const SeedSettings &seeds) { subscription_.setSeeds(seeds); }

    /// @brief Lets transactions end, closes every caller and then calls back, before the grace
    /// period of the settings has passed.
    /// @param stopped Called once.
    void stop(std::function<void()> stopped);

private:
    void post(PoolerEvent event) override;
    void callerClosed(CallerId caller) override;
    [[nodiscard]] std::span<char> readBuffer() noexcept override { return readBuffer_; }

    void accepted(boost::asio::ip::tcp::socket socket);
    void run();
    [[nodiscard]] bool isCurrent(const PoolerEvent &event);
    void execute(PoolerActions actions);
    void execute(pooler::AcceptCaller &action);
    void execute(pooler::RefuseCaller &action);
    void execute(pooler::AnswerCaller &action);
    void execute(pooler::CloseCaller &action);
    void execute(pooler::OpenConnection &action);
    void execute(pooler::SendCommand &action);
    void execute(pooler::CloseConnection &action);
    void execute(pooler::ReportEvidence &action);
    void execute(pooler::LogDecision &action);
    void execute(pooler::ShutdownFinished &action);
    [[nodiscard]] std::shared_ptr<PooledCallerConnection> callerToFlush(CallerId caller);
    void flush();
    void armTimer();
    void deadlineReached();
    void closeListener();
    void finishStop();

    static constexpr std::size_t readBytes = std::size_t{16} * 1024;

    boost::asio::io_context &context_;
    std::string name_;
    std::string callersAddress_;
    Duration grace_;
    const CodecFactory &codecs_;
    Pooler pooler_;
    TcpListener listener_;
    ControlSubscription subscription_;
    DeadlineTimer timer_;
    std::optional<Instant> armedFor_{}; ///< Point that timer_ is set to.
    DeadlineTimer stopTimer_;
    std::deque<PoolerEvent> events_{};
    bool running_ = false;
    CallerId lastCaller_ = 0;
    std::unordered_map<CallerId, std::shared_ptr<PooledCallerConnection>>
        callers_{};                           ///< Open sockets.
    std::unordered_set<CallerId> sessions_{}; ///< Callers that the Pooler knows.
    std::unordered_map<ConnectionId, std::shared_ptr<EndpointConnection>> connections_{};
    std::vector<std::shared_ptr<PooledCallerConnection>> callersToFlush_{};
    std::vector<std::shared_ptr<EndpointConnection>> connectionsToFlush_{};
    std::function<void()> stopped_{};
    bool stopping_ = false;
    bool shutdownFinished_ = false;
    std::array<char, readBytes> readBuffer_{};
};

} // namespace hyssoprock
