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
/// @brief Connections of this host to one endpoint, and the requests that wait for one.

namespace hyssoprock {

/// @brief A connection that a session holds.
struct HeldConnection
{
    ConnectionId id{};                          ///< Unique within the process.
    std::shared_ptr<PgConnection> connection{}; ///< Idle when it is granted.
    std::string schemaVersions{};               ///< Value that was kept at its last release.
    Instant granted{};                          ///< When the session got it.
};

/// @brief A wait for a connection.
struct PoolRequest
{
    std::string caller{};                                ///< For fairness: the startup user.
    Instant deadline{};                                  ///< Latest time of an answer.
    std::function<void(const HeldConnection &)> granted; ///< Gets the connection.
    std::function<void(const Error &)> refused;          ///< Gets the reason.
};

/// @brief Connections of all pools by purpose of the caller; what the pool tells its owner.
struct PoolHandlers
{
    std::function<void(const std::string &endpoint)> demandRaised{}; ///< More budget is wanted.
    std::function<void(const std::string &endpoint)> failed{};       ///< A connection failed.
    std::function<void(const std::string &endpoint)> succeeded{};    ///< A connection opened.
};

/// @brief Pool of one endpoint within the leased budget, with a fair admission queue.
///
/// Callbacks of requests run from the event loop, never from within acquire().
class EndpointPool
{
public:
    /// @brief Starts without connections.
    /// @param context I/O context.
    /// @param endpoint Name of the endpoint.
    /// @param target Where to connect.
    /// @param settings Settings of the process; outlive the pool.
    /// @param ledger Budgets of this host; outlives the pool.
    /// @param metrics Metrics; outlive the pool.
    /// @param handlers Called on the I/O thread.
    EndpointPool(boost::asio::io_context &context, std::string endpoint, PgTarget target,
                 const Settings &settings, BudgetLedger &ledger, Metrics &metrics,
                 const PoolHandlers &handlers);
    EndpointPool(const EndpointPool &) = delete;
    EndpointPool &operator=(const EndpointPool &) = delete;
    ~EndpointPool();

    /// @brief Asks for a connection.
    /// @param request The request.
    /// @return Number of the wait, for cancel().
    std::uint64_t acquire(PoolRequest request);

    /// @brief Gives a wait up; neither callback runs afterwards.
    /// @param wait Result of acquire().
    void cancel(std::uint64_t wait);

    /// @brief Takes a connection back.
    /// @param held What was granted.
    /// @param reusable False to close it.
    /// @param schemaVersions Kept with it.
    void release(HeldConnection held, bool reusable, std::string schemaVersions);

    /// @brief Takes an idle connection out for a short call of the host itself.
    /// @return Nothing if all are in use.
    [[nodiscard]] std::optional<HeldConnection> takeIdle();

    /// @brief Applies changed budgets: opens, serves or closes connections.
    void budgetChanged();

    /// @brief Refuses all that wait, for example because the host is leaving.
    /// @param error Reason.
    void refuseAll(const Error &error);

    /// @brief Demand for the next lease renewal.
    [[nodiscard]] BudgetDemand demand() const;

    /// @brief Connections that sessions hold.
    [[nodiscard]] std::size_t held() const noexcept { return held_; }

    /// @brief Where it connects to.
    [[nodiscard]] const PgTarget &target() const noexcept { return target_; }

private:
    struct Wait
    {
        PoolRequest request;
        Instant since;
    };

    void serve();
    void open();
    void opened(const std::shared_ptr<PgConnection> &connection, const Result<void> &result);
    void addIdle(HeldConnection pooled);
    void refuse(std::uint64_t wait, Error error);
    void expire();
    void closeExcess();
    void connectFailed(const Error &error);
    [[nodiscard]] std::size_t live() const noexcept { return idle_.size() + opening_ + held_; }
    void closed();
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
    std::size_t opening_ = 0;
    std::size_t held_ = 0;
    Duration backoff_{};  ///< Wait after the newest failed connection.
    Instant openAfter_{}; ///< No connection is opened before.
    DeadlineTimer timer_;
    std::shared_ptr<EndpointPool *> alive_;
};

} // namespace hyssoprock
