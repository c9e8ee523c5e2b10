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
struct ScriptedEndpoint
{
    std::string dataCentre;
    bool reachable = true; ///< Whether it responds to the leader's calls.
    std::string role = "replica";
    std::uint64_t term = 0;
    std::uint64_t fenced = 0;
    LogPosition position{};
    std::uint64_t majorityIndex = 0;
    bool majorityFollows = true; ///< The majority index equals the last index.
    std::string primary;
    std::vector<std::string> voters;
    bool refusesPromotion = false;
    bool losesPromotionResponse = false; ///< Becomes primary, but its response is lost.
};

/// @brief Entry host with scripted behaviour.
struct ScriptedHost
{
    std::string dataCentre;
    bool connected = true;            ///< Renews its lease.
    bool confirms = true;             ///< Applies views.
    std::set<std::string> cutOffFrom; ///< Endpoints that it does not reach.
    std::map<std::string, Instant> lastResponseAt;
    bool quiesces = true;
    bool drains = true;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t viewVersion = 0;
    Instant nextRenewal{};
    Instant leaseEnd{};         ///< End of the lease at the holder.
    HostRenewResponse response; ///< Newest response.
};

/// @brief Group "orders" of three instances and one spare in three data centres, with an entry host
/// in each. Commands are committed immediately.
class CoordinatorFixture
{
public:
    CoordinatorFixture();

    /// @brief Advances the time in steps of ten milliseconds.
    void run(Duration duration);

    /// @brief Advances the time until a condition holds.
    /// @return Whether it held within the limit.
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// @brief Starts a leadership and waits until the group is formed.
    void form();

    /// @brief Replaces the leader by another control host with the same catalogue.
    void changeLeader();

    /// @brief Makes an endpoint unreachable for all probers.
    void kill(const std::string &endpoint);

    /// @brief Makes an endpoint reachable again.
    /// @param restarted Whether it has lost its role and is a replica without a primary.
    void revive(const std::string &endpoint, bool restarted = true);

    /// @brief Sends an operator's change with the current revision.
    void change(decltype(OperatorChange::change) body);

    [[nodiscard]] const GroupView &view() const { return catalog.findGroup("orders")->view; }
    [[nodiscard]] bool active() const { return view().state == GroupState::Active; }
    [[nodiscard]] ScriptedEndpoint &primary() { return endpoints.at(view().primary); }
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
    std::map<std::string, ScriptedEndpoint> endpoints;
    std::map<std::string, ScriptedHost> hosts;
    std::vector<CatalogCommand> committed;
    std::vector<EndpointRequest> calls;
    std::vector<FailoverReport> reports;
    std::vector<std::string> log;
    std::vector<OperatorResponse> operatorResponses;
    std::vector<StatusResponse> statusResponses;
    bool leaderLeaseValid = true;
    Instant now{std::chrono::hours{1}};

    void feed(const CoordinatorEvent &event);

    /// @brief Sends a renewal unchanged; the response is stored in the host.
    void renew(const HostRenewRequest &request);

private:
    void perform(const CoordinatorAction &action);
    void respondTo(const CallEndpoint &call);
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
