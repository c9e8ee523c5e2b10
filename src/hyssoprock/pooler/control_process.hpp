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
#include <hyssoprock/pooler/codecs.hpp>
#include <hyssoprock/pooler/control_node.hpp>
#include <hyssoprock/pooler/control_service.hpp>
#include <hyssoprock/pooler/endpoint_cache.hpp>
#include <hyssoprock/pooler/endpoint_status_client.hpp>
#include <hyssoprock/pooler/status_collector.hpp>
#include <hyssoprock/promotion/promotion_client.hpp>
#include <hyssoprock/promotion/promotion_controller.hpp>
#include <hyssoprock/promotion/promotion_metrics.hpp>
#include <hyssoprock/registry/endpoint_registry.hpp>

/// @file
/// @brief The control role of the pooled deployment.

namespace hyssoprock {

/// @brief Timing of endpoints and promotions.
struct ControlTiming
{
    Duration heartbeat{};    ///< Interval at which endpoints send heartbeats.
    Duration stableWindow{}; ///< See PromotionController.
};

/// @brief Joins the control group with the endpoint registry and the promotion controller. Used on
/// one I/O thread.
class ControlProcess final : public ControlService
{
public:
    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings of the internal side.
    /// @param timing Timing.
    /// @param codecs Wire formats; outlives this object.
    /// @param parseRow Reads the status of an endpoint.
    /// @param caller Sends promotion calls; outlives this object.
    /// @param seed Seed of jitter and timeouts.
    /// @param files Where the durable state is kept.
    ControlProcess(boost::asio::io_context &context, const ControlNodeSettings &settings,
                   ControlTiming timing, const CodecFactory &codecs, StatusRowParser parseRow,
                   PromotionClient &caller, std::uint64_t seed,
                   const std::shared_ptr<FileSystem> &files = std::make_shared<PosixFileSystem>());
    ~ControlProcess() override;

    /// @brief Restores the durable state and listens.
    /// @return The internal address, or why it cannot start.
    [[nodiscard]] Result<SocketAddress> start();
    /// @brief Leaves the control group in order.
    /// @param done Called within a second.
    void stop(std::function<void()> done);
    /// @brief Replaces the seeds.
    /// @param seeds IP numbers of control hosts.
    void setSeeds(std::vector<std::string> seeds) { node_.setSeeds(std::move(seeds)); }

    /// A service that the applied document does not name may be in a newer one, so the leader is
    /// asked. Without any document every service is accepted: there is nothing to check against.
    void heartbeat(const EndpointRecord &record, Done done) override;
    void leave(std::string_view id) override;
    void putDocument(const std::string &bytes, Done done) override;
    void readDocument(ReadDocumentCallback done) override;

    /// @brief Metrics of this host.
    /// @return Prometheus text.
    [[nodiscard]] std::string metricsText();

private:
    /// @return Whether the heartbeat was newer than what was known.
    bool take(const EndpointRecord &record);
    void apply(const RegistryChanges &changes);
    [[nodiscard]] bool knowsService(const std::string &service);
    /// @return Null if there is no readable document.
    [[nodiscard]] const DeploymentDocument *appliedDocument();
    void post(PromotionEvent event);
    void noteEntryHosts();
    /// Tells the controller of a document that it has not been told of.
    void noteDocument();
    void execute(const promotion::RequestEvidence &action);
    void execute(const promotion::SendOperation &action);
    void execute(const promotion::Propose &action);
    void execute(const promotion::SendPromotionCall &action);
    void execute(const promotion::AnnouncePrimary &action);
    void execute(const promotion::LogDecision &action);
    void armTimer();
    void deadlineReached();
    void scheduleStore();
    void storeEndpoints();

    PromotionClient &caller_;
    EndpointRegistry registry_;
    PromotionController controller_;
    PromotionMetrics promotionMetrics_{};
    std::uint64_t documentsStored_ = 0;
    PooledControlNode node_;
    EndpointStatusClient statusClient_;
    StatusCollector statusCollector_;
    EndpointCache cache_;
    DeadlineTimer timer_;
    DeadlineTimer cacheTimer_;
    std::deque<PromotionEvent> events_{};
    bool running_ = false;
    bool leading_ = false;
    bool cacheOutdated_ = false;
    CachedHosts stored_{}; ///< What the cache holds, without the endpoints.
    std::vector<std::string> entryHosts_{};
    Instant entryHostsAt_{};
    std::uint64_t promotionVersion_ = 0; ///< Version that the controller knows.
    std::uint64_t appliedVersion_ = 0;
    std::shared_ptr<const DeploymentDocument> applied_{}; ///< Of that version.
    std::shared_ptr<ControlProcess *> alive_;
};

} // namespace hyssoprock
