#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/topology.hpp>
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

/// @brief Subscribes at every known control host and merges what they tell into events.
class ControlSubscription
{
public:
    /// @brief Called for each event.
    using Report = std::function<void(PoolerEvent)>;

    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings of this process.
    /// @param seed Seed of jitter.
    /// @param report Called on the I/O thread.
    ControlSubscription(boost::asio::io_context &context, const PooledSettings &settings,
                        std::uint64_t seed, Report report);
    ControlSubscription(const ControlSubscription &) = delete;
    ControlSubscription &operator=(const ControlSubscription &) = delete;
    ~ControlSubscription();

    /// @brief Connects to the control hosts that the settings name.
    void start();

    /// @brief Replaces the seeds and connects to new ones. A host that is no longer a seed is
    /// forgotten like one that was learned. Called after start().
    /// @param seeds Checked settings.
    void setSeeds(const SeedSettings &seeds);

    /// @brief Tells every connected control host what was found about an endpoint.
    /// @param evidence What was found.
    void sendEvidence(const pooler::ReportEvidence &evidence);

    /// @brief Version of the document in force; 0 for none.
    [[nodiscard]] std::uint64_t documentVersion() const noexcept
    {
        return view_.document() ? view_.document()->version : 0;
    }

    /// @brief Sets where reports to control hosts get their counts from.
    /// @param use Gives sessions and connections; called at most once a second.
    void onReport(std::function<PoolerUsage()> use) { use_ = std::move(use); }

private:
    struct ControlHost
    {
        std::unique_ptr<FrameClient> client{};
        bool seed = false;          ///< Named in the settings; never forgotten.
        Instant lastFrame{};        ///< Newest frame, or the start of the connection.
        Instant lastReachable{};    ///< Newest time of a connection, or when it was learned.
        Instant lastKeepAlive{};    ///< When this host sent the last KeepAlive.
        std::string dataCentre{};   ///< By its own account.
        std::uint64_t sequence = 0; ///< Messages sent.
    };

    void add(const std::string &ip, bool seed);
    void connected(const std::string &ip);
    void disconnected(const std::string &ip, const Error &error);
    void received(const std::string &ip, const Frame &frame);
    void receivedUpdate(const std::string &ip, const DeploymentUpdate &update);
    void receivedDocument(const std::string &ip, const DocumentAnswer &answer);
    [[nodiscard]] Result<DeploymentDocument> documentIn(const DocumentAnswer &answer) const;
    void fetchDocument();
    void reportChanges(DeploymentViewChanges changes);
    void tickLater();
    void tick();
    void sendReports(Instant now);

    boost::asio::io_context &context_;
    std::string host_;
    Topology topology_;
    SeedSettings seeds_;
    std::uint16_t port_;
    RandomSource random_;
    Report report_;
    DeploymentView view_;
    DocumentFetchScheduler fetch_;
    EntryReportSchedule reports_{};
    std::function<PoolerUsage()> use_{};
    std::map<std::string, ControlHost> hosts_{}; ///< By IP number.
    boost::asio::steady_timer timer_;
};

} // namespace hyssoprock
