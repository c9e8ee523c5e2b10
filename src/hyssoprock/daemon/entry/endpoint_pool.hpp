#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/daemon/deadline_timer.hpp>
#include <hyssoprock/daemon/shared/metrics.hpp>
#include <hyssoprock/limits/admission_queue.hpp>
#include <hyssoprock/limits/budget_ledger.hpp>
#include <hyssoprock/request/session_events.hpp>
#include <hyssoprock/settings/settings.hpp>
#include <hyssoprock/transport/pg_connection.hpp>

/// @file
/// @brief Connections of this host to one endpoint and the queue of requests for them.

namespace hyssoprock {

/// @brief Connection that is granted to a session.
struct HeldConnection
{
    ConnectionId id{};                          ///< Unique within the process.
    std::shared_ptr<PgConnection> connection{}; ///< Connection; idle when it is granted.
    std::string schemaVersions{};               ///< Version filter stored at its last release.
    Instant grantedAt{};                        ///< Time of the grant.
};

/// @brief Request for a connection.
struct PoolRequest
{
    std::string caller{}; ///< User name at startup, for fair queueing.
    Instant deadline{};   ///< Latest time of the result.
    std::function<void(const HeldConnection &)> granted; ///< Receives the connection.
    std::function<void(const Error &)> refused;          ///< Receives the reason.
};

/// @brief Callbacks to the owner of a pool.
struct PoolHandlers
{
    std::function<void(const std::string &endpoint)>
        demandRaised{}; ///< More connection budget is needed.
    std::function<void(const std::string &endpoint)> failed{};    ///< A connection attempt failed.
    std::function<void(const std::string &endpoint)> succeeded{}; ///< A connection was opened.
};

/// @brief Connection pool of one endpoint within the leased budget, with a fair admission queue.
///
/// Callbacks of requests are called from the event loop, never during acquire().
class EndpointPool
{
public:
    /// @param context I/O context.
    /// @param endpoint Name of the endpoint.
    /// @param target Address and startup parameters.
    /// @param settings Settings of the process; must outlive the pool.
    /// @param ledger Connection budgets of this host; must outlive the pool.
    /// @param metrics Metrics; must outlive the pool.
    /// @param handlers Called on the I/O thread.
    EndpointPool(boost::asio::io_context &context, std::string endpoint, PgTarget target,
                 const Settings &settings, BudgetLedger &ledger, Metrics &metrics,
                 const PoolHandlers &handlers);
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;
    ~EndpointPool();

    /// @brief Requests a connection.
    /// @return Id of the request, for cancel().
    std::uint64_t acquire(PoolRequest request);

    /// @brief Cancels a request. Neither callback is called afterwards.
    /// @param wait Id returned by acquire().
    void cancel(std::uint64_t wait);

    /// @brief Returns a connection to the pool.
    /// @param held Granted connection.
    /// @param reusable False to close the connection.
    /// @param schemaVersions Version filter to store with the connection.
    void release(HeldConnection held, bool reusable, std::string schemaVersions);

    /// @brief Acquires an idle connection for a short call by the host itself.
    /// @return std::nullopt if no connection is idle.
    [[nodiscard]] std::optional<HeldConnection> acquireIdle();

    /// @brief Opens or closes connections after a change of the budget and serves the queue.
    void budgetChanged();

    /// @brief Refuses all queued requests, for example because the host is leaving.
    void refuseAll(const Error &error);

    /// @brief Demand for the next lease renewal.
    [[nodiscard]] BudgetDemand demand() const;

    /// @brief Number of granted connections.
    [[nodiscard]] std::size_t heldCount() const noexcept { return heldCount_; }

    /// @brief Address and startup parameters of the endpoint.
    [[nodiscard]] const PgTarget &target() const noexcept { return target_; }

private:
    struct Wait
    {
        PoolRequest request;
        Instant queuedAt;
    };

    void serveQueue();
    void openConnection();
    void handleConnectResult(const std::shared_ptr<PgConnection> &connection,
                             const Result<void> &result);
    void addIdle(HeldConnection pooled);
    void refuse(std::uint64_t wait, Error error);
    void expireQueued();
    void closeExcess();
    void handleConnectFailure(const Error &error);
    [[nodiscard]] std::size_t liveCount() const noexcept
    {
        return idle_.size() + openingCount_ + heldCount_;
    }
    void recordClosed();
    void updateTimer();

    boost::asio::io_context &context_;
    std::string endpoint_;
    PgTarget target_;
    const Settings &settings_;
    BudgetLedger &ledger_;
    Metrics &metrics_;
    const PoolHandlers &handlers_;
    AdmissionQueue queue_;
    std::map<std::uint64_t, Wait> waits_{};
    std::uint64_t nextWait_ = 1;
    std::vector<HeldConnection> idle_{};
    std::size_t openingCount_ = 0;
    std::size_t heldCount_ = 0;
    Duration reconnectDelay_{}; ///< Delay after the latest failed connection attempt.
    Instant reconnectAt_{};     ///< No connection is opened before this time.
    DeadlineTimer timer_;
    std::shared_ptr<EndpointPool *> alive_;
};

} // namespace hyssoprock
