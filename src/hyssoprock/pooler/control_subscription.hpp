#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/deployment/topology.hpp>
#include <hyssoprock/freshness/position_feed.hpp>
#include <hyssoprock/leasing/host_lease_holder.hpp>
#include <hyssoprock/limits/allowance_requester.hpp>
#include <hyssoprock/message/pooling.hpp>
#include <hyssoprock/pooling/pooler_action.hpp>
#include <hyssoprock/pooling/pooler_event.hpp>
#include <hyssoprock/pooling/pooler_use.hpp>
#include <hyssoprock/registry/deployment_view.hpp>
#include <hyssoprock/registry/document_fetch.hpp>
#include <hyssoprock/registry/entry_report_schedule.hpp>
#include <hyssoprock/settings/pooler_settings.hpp>
#include <hyssoprock/transport/frame_client.hpp>

/// @file
/// @brief Connections of an entry host to all control hosts.

namespace hyssoprock {

/// @brief Subscribes to every known control host and merges their updates into events.
class ControlSubscription
{
public:
    /// @brief Receives each event, on the I/O thread.
    using EventCallback = std::function<void(PoolerEvent)>;

    /// @param seed Seed of reconnect jitter and fetch choices.
    ControlSubscription(boost::asio::io_context &context, const PooledSettings &settings,
                        std::uint64_t seed, EventCallback callback);
    ControlSubscription(const ControlSubscription &) = delete;
    ControlSubscription &operator=(const ControlSubscription &) = delete;
    ~ControlSubscription();

    /// @brief Connects to the seeds from the settings.
    void start();

    /// @brief Replaces the seeds and connects to new ones. A former seed expires like a host
    /// learned from updates. Called after start().
    void setSeeds(const SeedSettings &seeds);

    /// @brief Sends the reachability of an endpoint to every connected control host.
    void sendEvidence(const pooler::ReportEvidence &evidence);

    /// @brief Reports that this host no longer uses a withdrawn primary.
    void sendRelease(const pooler::PrimaryReleased &release);

    /// @brief Requests permission for waiting operations of a team with a limit.
    void requestAllowance(const pooler::RequestAllowance &request);

    /// @brief Ends the lease on the primaries, which this host no longer uses.
    void endLease();

    /// @brief Version of the active document; 0 for none.
    [[nodiscard]] std::uint64_t documentVersion() const noexcept
    {
        return view_.document() ? view_.document()->version : 0;
    }

    /// @brief Sets the source of the session and connection counts in reports to control hosts.
    /// @param use Called at most once per second.
    void setUsageSource(std::function<PoolerUsage()> use) { usageSource_ = std::move(use); }

    /// @brief Sets the source of the services whose positions are requested from control hosts.
    /// @param services Called before each request.
    void setPositionSource(std::function<std::vector<std::string>()> services)
    {
        positionSource_ = std::move(services);
    }

private:
    struct ControlHost
    {
        std::unique_ptr<FrameClient> client{};
        bool seed = false;          ///< Listed in the settings; never removed.
        Instant lastReceivedAt{};   ///< Time of the last frame or of the connect.
        Instant lastReachableAt{};  ///< Last time it was connected, or when it was learned.
        Instant lastKeepAliveAt{};  ///< Time of the last KeepAlive sent to it.
        std::string dataCentre{};   ///< Data centre from its updates.
        std::uint64_t sequence = 0; ///< Number of KeepAlives sent.
    };

    void addControlHost(const std::string &ip, bool seed);
    void handleConnect(const std::string &ip);
    void handleDisconnect(const std::string &ip, const Error &error);
    void handleFrame(const std::string &ip, const Frame &frame);
    void handleUpdate(const std::string &ip, const DeploymentUpdate &update);
    void handleDocument(const std::string &ip, const DocumentAnswer &answer);
    [[nodiscard]] Result<DeploymentDocument> decodeDocument(const DocumentAnswer &answer) const;
    void fetchDocument();
    void reportChanges(DeploymentViewChanges changes);
    void scheduleTick();
    void tick();
    void sendReports(Instant now);
    void handlePositions(const std::string &ip, const PositionReport &report);
    void requestPositions();
    [[nodiscard]] Result<bool> handleAllowanceFrame(const std::string &ip, const Frame &frame);
    void executeAllowanceActions(AllowanceActions actions);
    void requestLease();
    void startLeaseIfNeeded();
    void handleLeaseGrant(const std::string &ip, const HostLeaseGrant &grant);

    boost::asio::io_context &context_;
    std::string host_;
    Topology topology_;
    SeedSettings seeds_;
    std::uint16_t port_;
    Duration hostLease_;
    RandomSource random_;
    EventCallback eventCallback_;
    DeploymentView view_;
    DocumentFetchScheduler documentFetchScheduler_;
    EntryReportSchedule reportSchedule_{};
    std::optional<HostLeaseHolder> lease_{};  ///< Empty until a service needs a lease.
    std::optional<PositionFeed> positions_{}; ///< Empty if no positions are requested.
    std::function<PoolerUsage()> usageSource_{};
    std::function<std::vector<std::string>()> positionSource_{};
    std::map<std::string, ControlHost> controlHosts_{}; ///< By IP address.
    boost::asio::steady_timer timer_;
    DeadlineTimer positionTimer_;
    AllowanceRequester allowances_;
    DeadlineTimer allowanceTimer_;
};

} // namespace hyssoprock
