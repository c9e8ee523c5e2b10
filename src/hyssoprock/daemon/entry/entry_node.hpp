#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include <hyssoprock/daemon/entry/caller_connection.hpp>
#include <hyssoprock/daemon/entry/caller_host.hpp>
#include <hyssoprock/daemon/entry/control_link.hpp>
#include <hyssoprock/daemon/entry/endpoint_prober.hpp>
#include <hyssoprock/limits/ejection_tracker.hpp>
#include <hyssoprock/limits/retry_budget.hpp>
#include <hyssoprock/membership/membership_node.hpp>
#include <hyssoprock/sql/postgres_caller_dialect.hpp>
#include <hyssoprock/sql/postgres_endpoint_dialect.hpp>
#include <hyssoprock/transport/datagram_socket.hpp>
#include <hyssoprock/transport/tcp_listener.hpp>

/// @file
/// @brief Entry role: callers, endpoint connections, probes, lease and announcements.

namespace hyssoprock {

/// @brief Listening addresses of an entry host.
struct EntryAddresses
{
    SocketAddress callers{}; ///< Connections of callers.
    SocketAddress peers{};   ///< Datagrams of endpoints and other entry hosts.
};

/// @brief Services of an entry host. Must be used on one I/O thread.
class EntryNode final : public CallerHost
{
public:
    /// @brief Creates an inactive node; see start().
    /// @param context I/O context.
    /// @param settings Settings; must outlive this object.
    /// @param metrics Metrics; must outlive this object.
    /// @param seed Random seed for jitter and the choice between equivalent endpoints.
    /// @param incarnation Number that increases with each restart of the host.
    EntryNode(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
              std::uint64_t seed, std::uint64_t incarnation);
    ~EntryNode() override;

    /// @brief Listens for connections and starts renewing the lease.
    /// @return The listening addresses, or the error that prevents the start.
    [[nodiscard]] Result<EntryAddresses> start();

    /// @brief Ends all sessions after their current request or transaction and returns the lease.
    /// @param done Called on the I/O thread after the stop.
    void stop(std::function<void()> done);

    [[nodiscard]] boost::asio::io_context &context() override { return context_; }
    [[nodiscard]] const Settings &settings() const override { return settings_; }
    [[nodiscard]] HostTables &tables() override { return tables_; }
    [[nodiscard]] const TokenCodec &tokens() const override { return tokens_; }
    [[nodiscard]] const CallerDialect &callerDialect() const override { return callerDialect_; }
    [[nodiscard]] const EndpointDialect &endpointDialect() const override
    {
        return endpointDialect_;
    }
    [[nodiscard]] Metrics &metrics() override { return metrics_; }
    [[nodiscard]] RandomSource &random() override { return random_; }
    [[nodiscard]] std::shared_ptr<EndpointPool> pool(const std::string &endpoint) override;
    [[nodiscard]] bool tryRetry() override { return retries_.trySpend(); }
    void recordEndpointResult(const std::string &endpoint, bool success) override;
    void tablesChanged() override;
    void cancel(std::uint32_t processId, std::uint32_t secretKey) override;
    void callerClosed(std::uint64_t session) override;
    [[nodiscard]] bool isLeaving() const override { return leaving_; }

private:
    // entry_node.cpp: callers and endpoints
    void accept(boost::asio::ip::tcp::socket socket);
    void processTableChanges();
    void pollPrimary(const std::string &group);
    void recordReport(const std::string &group, const std::string &endpoint,
                      const EndpointReport &report, Instant sent, bool leaseValidAtSend);
    void runMaintenance();
    void checkEjections();
    void finishWhenIdle();

    // entry_lease.cpp: lease, views and probes
    [[nodiscard]] HostRenewRequest composeRenewal();
    void handleRenewal(const HostRenewResponse &response);
    void handleViewPush(const ViewPush &push);
    void applyUpdate(const ViewUpdate &update);
    void updateEndpoints();
    void updateProbers();
    [[nodiscard]] bool isInUse(const std::string &endpoint) const;
    void reportQuiesced();
    [[nodiscard]] std::vector<Announcement> dueAnnouncements(Instant now);
    [[nodiscard]] std::set<std::string> quiescedGroups() const;

    // entry_membership.cpp: datagrams of entry hosts and endpoints
    void handleDatagram(const SocketAddress &from, const Frame &frame);
    [[nodiscard]] Result<MembershipEvent> parseDatagram(const Frame &frame) const;
    void startMembership(const SocketAddress &address);
    void handleMembership(const MembershipEvent &event);
    void execute(const membership::SendDatagram &action);
    void execute(const membership::HostChanged &action);
    void execute(const membership::EndpointAnnounced &action);
    void execute(const membership::EndpointExpired &action);

    boost::asio::io_context &context_;
    const Settings &settings_;
    Metrics &metrics_;
    RandomSource random_;
    std::uint64_t incarnation_;
    HostTables tables_;
    TokenCodec tokens_;
    sql::PostgresCallerDialect callerDialect_{};
    sql::PostgresEndpointDialect endpointDialect_{};
    BudgetLedger ledger_{};
    RetryBudget retries_;
    EjectionTracker ejections_;
    PoolHandlers poolHandlers_{};
    ControlLink control_;
    TcpListener listener_;
    DatagramSocket datagrams_;
    std::unique_ptr<MembershipNode> membership_{};
    std::map<std::string, Instant> announcedAt_{}; ///< Time of the last forwarded announcement.
    std::map<std::string, Member> members_{};      ///< All endpoints of all views.
    std::map<std::string, Instant> groupUsedAt_{}; ///< Time of the last use of a group by a caller.
    std::vector<std::string> observerHosts_{};     ///< Host list from which probers_ was derived.
    std::map<std::string, std::shared_ptr<EndpointPool>> pools_{};
    std::map<std::string, std::uint64_t>
        incarnations_{}; ///< Latest known incarnations of endpoints.
    std::map<std::string, std::unique_ptr<EndpointProber>> probers_{};
    std::map<std::uint64_t, std::shared_ptr<CallerConnection>> callers_{};
    std::uint64_t nextSession_ = 1;
    std::set<std::string> reportedQuiesced_{};
    std::set<std::string> reportedDrained_{};
    std::set<std::string> ejected_{};
    bool processingScheduled_ = false;
    bool leaving_ = false;
    Instant leaveDeadline_{};
    std::function<void()> stopCallback_{};
    DeadlineTimer tablesTimer_;
    DeadlineTimer membershipTimer_;
    DeadlineTimer maintenanceTimer_;
    std::shared_ptr<EntryNode *> alive_;
};

} // namespace hyssoprock
