#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/failover/coordinator.hpp>

/// @file
/// @brief A Coordinator with scripted endpoints and entry hosts, without delays of its own.

namespace hyssoprock::test {

/// @brief Scripted endpoint.
struct BenchEndpoint
{
    std::string dataCentre;
    bool reachable = true; ///< Whether the leader's calls are answered.
    std::string role = "replica";
    std::uint64_t term = 0;
    std::uint64_t fenced = 0;
    LogPosition position{};
    std::uint64_t majorityIndex = 0;
    bool majorityFollows = true; ///< The majority index is always the last one.
    std::string primary;
    std::vector<std::string> voters;
    bool refusesPromotion = false;
    bool losesPromotionAnswer = false; ///< Becomes primary, but the leader is not told.
};

/// @brief Scripted entry host.
struct BenchHost
{
    std::string dataCentre;
    bool connected = true;            ///< Renews its lease.
    bool confirms = true;             ///< Applies views.
    std::set<std::string> cutOffFrom; ///< Endpoints that it does not reach.
    std::map<std::string, Instant> lastAnswer;
    bool quiesces = true;
    bool drains = true;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t viewVersion = 0;
    Instant nextRenewal{};
    Instant leaseEnd{};       ///< Lease as the holder counts it.
    HostRenewResponse answer; ///< Newest answer.
};

/// @brief Group "orders" of three instances and one spare in three data centres, with a host in
/// each. Commands are committed at once unless they are held.
class Bench
{
public:
    Bench();

    /// @brief Lets time pass in steps of ten milliseconds.
    void run(Duration duration);

    /// @brief Lets time pass until a condition holds.
    /// @return Whether it held within the limit.
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// @brief Begins a leadership, waits, and forms the group.
    void form();

    /// @brief Another control host takes over with the same catalogue.
    void changeLeader();

    /// @brief An endpoint stops answering everybody.
    void kill(const std::string &endpoint);

    /// @brief An endpoint answers again, as a replica that follows nobody unless it was cut off.
    void revive(const std::string &endpoint, bool restarted = true);

    /// @brief Sends an operator's change with the present revision.
    void change(decltype(OperatorChange::change) body);

    [[nodiscard]] const GroupView &view() const { return catalog.findGroup("orders")->view; }
    [[nodiscard]] bool active() const { return view().state == GroupState::Active; }
    [[nodiscard]] BenchEndpoint &primary() { return endpoints.at(view().primary); }
    [[nodiscard]] std::size_t voters() const;
    [[nodiscard]] bool isVoter(const std::string &endpoint) const;
    /// @brief Number of committed commands of a type.
    template <class Command>
    [[nodiscard]] int count() const
    {
        int total = 0;
        for (const auto &command : committed) {
            total += std::holds_alternative<Command>(command.body) ? 1 : 0;
        }
        return total;
    }

    Catalog catalog;
    std::map<std::string, BenchEndpoint> endpoints;
    std::map<std::string, BenchHost> hosts;
    std::vector<CatalogCommand> committed;
    std::vector<EndpointRequest> calls;
    std::vector<FailoverReport> reports;
    std::vector<std::string> log;
    std::vector<OperatorResponse> operatorAnswers;
    std::vector<StatusResponse> statusAnswers;
    bool leaderLeaseValid = true;
    Instant now{std::chrono::hours{1}};

    void feed(const CoordinatorEvent &event);

    /// @brief Sends a renewal as it stands; the answer is kept in the host.
    void renew(const HostRenewRequest &request);

private:
    void perform(const CoordinatorAction &action);
    void answer(const CallEndpoint &call);
    [[nodiscard]] Result<EndpointCallResponse> serve(const std::string &name,
                                                     const EndpointRequest &request);
    void renew(const std::string &name);
    void makeCoordinator();

    std::unique_ptr<Coordinator> coordinator_;
    std::uint64_t leaderTerm_ = 0;
    std::uint64_t changes_ = 0;
    std::map<RequestId, std::string> renewals_;
    RequestId lastRequest_ = 0;
};

} // namespace hyssoprock::test
