#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/freshness/primary_sampler.hpp>
#include <hyssoprock/leasing/host_lease_grantor.hpp>
#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/pooler/control_node.hpp>
#include <hyssoprock/pooler/control_service.hpp>
#include <hyssoprock/pooler/endpoint_cache.hpp>
#include <hyssoprock/pooler/endpoint_status_client.hpp>
#include <hyssoprock/pooler/primary_position_client.hpp>
#include <hyssoprock/pooler/status_collector.hpp>
#include <hyssoprock/promotion/promotion_client.hpp>
#include <hyssoprock/promotion/promotion_controller.hpp>
#include <hyssoprock/promotion/promotion_metrics.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief The control role of the pooled deployment.

namespace hyssoprock {

/// @brief Timing parameters of endpoints and promotions.
struct ControlTiming
{
    Duration heartbeat{};         ///< Interval at which endpoints send heartbeats.
    Duration stableWindow{};      ///< See PromotionController.
    bool fencedPromotions = true; ///< See PromotionSettings.
    Duration hostLease = std::chrono::milliseconds{4000}; ///< Duration of entry hosts' leases.
    /// Interval at which primaries are asked for their positions; 0 if entry hosts get none.
    Duration positionInterval{};
};

/// @brief Runs the control group, the endpoint registry and the promotion controller. Used on one
/// I/O thread.
class ControlProcess final : public ControlService
{
public:
    /// @param settings Settings of the control node.
    /// @param codecs Must outlive this object.
    /// @param parseRow Parses the status row of an endpoint.
    /// @param promotionClient Sends promotion calls; must outlive this object.
    /// @param seed Seed of reconnect jitter and election timeouts.
    /// @param files File system that holds the durable state.
    ControlProcess(boost::asio::io_context &context, const ControlNodeSettings &settings,
                   ControlTiming timing, const CodecFactory &codecs, StatusRowParser parseRow,
                   PromotionClient &promotionClient, std::uint64_t seed,
                   const std::shared_ptr<FileSystem> &files = std::make_shared<PosixFileSystem>());
    ~ControlProcess() override;

    /// @brief Restores the durable state and starts listening.
    /// @return The bound internal address, or the error.
    [[nodiscard]] Result<SocketAddress> start();
    /// @brief Leaves the control group.
    /// @param done Called within one second.
    void stop(std::function<void()> done);
    /// @param seeds IP addresses of control hosts.
    void setSeeds(std::vector<std::string> seeds) { node_.setSeeds(std::move(seeds)); }

    /// If the applied document does not contain the service, the leader's newest document is
    /// checked, since the local one may be outdated. Without any document every service is
    /// accepted.
    void heartbeat(const EndpointRecord &record, ResultCallback done) override;
    void leave(std::string_view id) override;
    void putDocument(const std::string &bytes, ResultCallback done) override;
    void readDocument(ReadDocumentCallback done) override;

    /// @brief Returns the metrics of this host in the Prometheus text format.
    [[nodiscard]] std::string metricsText();

private:
    [[nodiscard]] std::optional<HostLeaseGrant> grantLease(const std::string &host,
                                                           const HostLeaseRequest &request);
    /// @return The announced primary, or else the endpoint that reports to be primary.
    [[nodiscard]] std::optional<SampleTarget> findSampleTarget(const std::string &service) const;
    void samplePrimaries();
    /// @return Whether the heartbeat is newer than the known record.
    bool recordHeartbeat(const EndpointRecord &record);
    void apply(const RegistryChanges &changes);
    [[nodiscard]] bool knowsService(const std::string &service);
    /// @return Null if there is no valid document.
    [[nodiscard]] const DeploymentDocument *appliedDocument();
    void post(PromotionEvent event);
    void notifyEntryHosts();
    /// Notifies the promotion controller of a newly applied document.
    void notifyDocument();
    void execute(const promotion::RequestEvidence &action);
    void execute(const promotion::SendOperation &action);
    void execute(const promotion::Propose &action);
    void execute(const promotion::SendPromotionCall &action);
    void execute(const promotion::AnnouncePrimary &action);
    void execute(const promotion::LogDecision &action);
    void armTimer();
    void handleDeadline();
    void scheduleStore();
    void storeEndpoints();

    PromotionClient &promotionClient_;
    EndpointRegistry registry_;
    HostLeaseGrantor leases_;
    PromotionController controller_;
    PromotionMetrics promotionMetrics_{};
    std::uint64_t documentsStored_ = 0;
    PooledControlNode node_;
    EndpointStatusClient statusClient_;
    StatusCollector statusCollector_;
    PrimarySampler sampler_;
    PrimaryPositionClient positionClient_;
    DeadlineTimer sampleTimer_;
    EndpointCache cache_;
    DeadlineTimer timer_;
    DeadlineTimer cacheTimer_;
    std::deque<PromotionEvent> pendingEvents_{};
    bool processing_ = false;
    bool leading_ = false;
    bool cacheOutdated_ = false;
    CachedHosts storedHosts_{}; ///< Last stored cache content without the endpoints.
    std::vector<std::string> entryHosts_{};
    Instant entryHostsCheckedAt_{};
    std::uint64_t notifiedVersion_ = 0; ///< Document version last passed to controller_.
    std::uint64_t appliedVersion_ = 0;
    std::shared_ptr<const DeploymentDocument> appliedDocument_{}; ///< Document of appliedVersion_.
    std::shared_ptr<ControlProcess *> alive_;
};

} // namespace hyssoprock
