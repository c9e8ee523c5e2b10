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
/// @brief The entry role: callers, endpoint connections, probes, lease and announcements.

namespace hyssoprock {

/// @brief Addresses that an entry host listens on.
struct EntryAddresses
{
    SocketAddress callers{}; ///< Callers.
    SocketAddress peers{};   ///< Datagrams of endpoints and other entry hosts.
};

/// @brief Everything that an entry host runs. Used on one I/O thread.
class EntryNode final : public CallerHost
{
public:
    /// @brief Does nothing until start().
    /// @param context I/O context.
    /// @param settings Settings; outlive this object.
    /// @param metrics Metrics; outlive this object.
    /// @param seed Seed of jitter and ties.
    /// @param incarnation Rises with each restart of the host.
    EntryNode(boost::asio::io_context &context, const Settings &settings, Metrics &metrics,
              std::uint64_t seed, std::uint64_t incarnation);
    ~EntryNode() override;

    /// @brief Listens and begins to renew the lease.
    /// @return The addresses, or why it cannot start.
    [[nodiscard]] Result<EntryAddresses> start();

    /// @brief Ends sessions between requests, returns the lease, then calls back.
    /// @param done Called on the I/O thread.
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
    [[nodiscard]] bool tryRetry() override { return retries_.tryRetry(); }
    void recordEndpointResult(const std::string &endpoint, bool success) override;
    void tablesChanged() override;
    void cancel(std::uint32_t processId, std::uint32_t secretKey) override;
    void callerClosed(std::uint64_t session) override;
    [[nodiscard]] bool leaving() const override { return leaving_; }

private:
    // Callers and endpoints: entry_node.cpp.
    void accept(boost::asio::ip::tcp::socket socket);
    void settle();
    void poll(const std::string &group);
    void observe(const std::string &group, const std::string &endpoint,
                 const EndpointReport &report, Instant sent, bool leaseValidAtSend);
    void maintain();
    void checkEjections();
    void finishWhenIdle();

    // Lease, views and probes: entry_lease.cpp.
    [[nodiscard]] HostRenewRequest compose();
    void takeRenewal(const HostRenewResponse &response);
    void takePush(const ViewPush &push);
    void apply(const ViewUpdate &update);
    void updateEndpoints();
    void updateProbers();
    [[nodiscard]] bool inUse(const std::string &endpoint) const;
    void reportQuiesced();
    [[nodiscard]] std::vector<Announcement> dueAnnouncements(Instant now);
    [[nodiscard]] std::set<std::string> quiesced() const;

    // Datagrams of entry hosts and endpoints: entry_membership.cpp.
    void takeDatagram(const SocketAddress &from, const Frame &frame);
    [[nodiscard]] Result<MembershipEvent> eventIn(const Frame &frame) const;
    void joinHosts(const SocketAddress &address);
    void handleMembership(const MembershipEvent &event);
    void carryOut(const membership::SendDatagram &action);
    void carryOut(const membership::HostChanged &action);
    void carryOut(const membership::EndpointAnnounced &action);
    void carryOut(const membership::EndpointExpired &action);

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
    std::map<std::string, Instant> announcedAt_{}; ///< When an announcement was forwarded last.
    std::map<std::string, Member> members_{};      ///< All endpoints of all views.
    std::map<std::string, Instant> groupUsed_{};   ///< When a caller last needed a group.
    std::vector<std::string> observerHosts_{};     ///< Hosts for which probers_ was chosen.
    std::map<std::string, std::shared_ptr<EndpointPool>> pools_{};
    std::map<std::string, std::uint64_t> incarnations_{}; ///< Of endpoints, as last seen.
    std::map<std::string, std::unique_ptr<EndpointProber>> probers_{};
    std::map<std::uint64_t, std::shared_ptr<CallerConnection>> callers_{};
    std::uint64_t nextSession_ = 1;
    std::set<std::string> reportedQuiesced_{};
    std::set<std::string> reportedDrained_{};
    std::set<std::string> ejected_{};
    bool settleQueued_ = false;
    bool leaving_ = false;
    Instant leaveDeadline_{};
    std::function<void()> stopped_{};
    DeadlineTimer settleTimer_;
    DeadlineTimer membershipTimer_;
    DeadlineTimer maintenance_;
    std::shared_ptr<EntryNode *> alive_;
};

} // namespace hyssoprock
