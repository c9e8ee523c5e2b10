#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/failover/coordinator.hpp>

#include "failover_endpoint.hpp"
#include "failover_entry_host.hpp"
#include "failover_history.hpp"
#include "failover_world.hpp"

/// @file
/// @brief Fake control group: changes of leader and a durable list of committed commands.

namespace hyssoprock::random_runs::failover {

/// @brief The real Catalog and Coordinator on each control host; consensus is reduced to a rule.
///
/// A host takes over when a majority has not heard from the leader for an election timeout. A
/// leader's lease ends before that. A command is committed if its leader still leads and reaches a
/// majority when the commit is due.
class FakeControlGroup
{
public:
    FakeControlGroup(World &world, std::vector<std::size_t> nodes,
                     std::vector<std::size_t> entryNodes, EndpointFinder find, History &history,
                     LeaseSettings settings);
    FakeControlGroup(const FakeControlGroup &) = delete;
    FakeControlGroup &operator=(const FakeControlGroup &) = delete;

    /// @brief Entry hosts, once they exist.
    std::vector<FakeEntryHost *> entryHosts;

    /// @brief A renewal has been sent by an entry host.
    void renewal(std::size_t from, std::size_t control, const HostRenewRequest &request);

    /// @brief An operator's change, sent again until it is accepted or refused.
    void submit(decltype(OperatorChange::change) change);

    /// @brief Whether every submitted change has got its answer.
    [[nodiscard]] bool idle() const noexcept;

    void crash(std::size_t control);
    void restart(std::size_t control);

    /// @brief Catalogue with every committed command.
    [[nodiscard]] const Catalog &truth() const noexcept { return truth_; }

    /// @brief Index of the host that leads now, if any.
    [[nodiscard]] std::optional<std::size_t> leader() const noexcept { return leader_; }

    [[nodiscard]] std::size_t size() const noexcept { return hosts_.size(); }
    [[nodiscard]] std::size_t node(std::size_t control) const { return hosts_[control].node; }

    std::vector<FailoverReport> reports; ///< As measured by the coordinators.

private:
    struct Host
    {
        std::size_t node = 0;
        Catalog catalog;
        std::unique_ptr<Coordinator> coordinator;
        std::uint64_t epoch = 0; ///< Epoch that it believes to lead; 0 for none.
        Instant heard{};         ///< When it heard from a leader, on its clock.
        Duration timeout{0};     ///< Its election timeout.
        Instant leaseEnd{};      ///< End of its leader lease, on its clock.
        Instant lastMajority{};  ///< When it last reached a majority.
        Duration nextHeartbeat{0};
        std::string snapshot;    ///< Durable state.
        std::string knownLeader; ///< Whose heartbeat it has heard last.
    };

    [[nodiscard]] Instant clock(const Host &host) const { return world_.clock(host.node); }
    [[nodiscard]] bool leaseValid(const Host &host) const { return clock(host) < host.leaseEnd; }
    [[nodiscard]] bool reachesMajority(const Host &host) const;
    void startCoordinator(Host &host);
    void tick();
    void heartbeat(Host &host);
    void checkOneLease() const;
    void tryElection(std::size_t control);
    void stepDown(Host &host);
    void feed(std::size_t control, const CoordinatorEvent &event);
    void perform(std::size_t control, const CoordinatorAction &action);
    void propose(std::size_t control, const CatalogCommand &command);
    void commit(std::size_t control, std::uint64_t epoch, const CatalogCommand &command);
    void countCommand(const CatalogCommand &command);
    void catchUp(Host &host);
    void callEndpoint(std::size_t control, const CallEndpoint &call);
    void answerEntryHost(std::size_t control, const SendRenewResponse &answer);
    void push(std::size_t control, const ViewPush &message);

    struct OpenRenewal
    {
        std::size_t entryNode = 0;
        std::uint64_t incarnation = 0;
    };
    struct OpenChange
    {
        OperatorChange change;
        bool done = false;
    };

    World &world_;
    std::vector<Host> hosts_;
    std::vector<std::size_t> entryNodes_;
    EndpointFinder find_;
    History &history_;
    LeaseSettings settings_;
    std::vector<CatalogCommand> log_;
    Catalog truth_;
    std::optional<std::size_t> leader_;
    std::uint64_t epoch_ = 0;
    Duration lastCommit_{0};
    RequestId lastRequest_ = 0;
    std::map<RequestId, OpenRenewal> renewals_;
    std::map<RequestId, std::size_t> operatorRequests_;
    std::vector<OpenChange> changes_;
};

} // namespace hyssoprock::random_runs::failover
