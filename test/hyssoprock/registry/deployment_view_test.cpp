#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/registry/deployment_view.hpp>

using namespace hyssoprock;

namespace {

constexpr Duration retention = std::chrono::seconds{2};
constexpr Instant start{std::chrono::seconds{100}};

EndpointRecord record(const std::string &id, std::uint64_t bornMs = 1, std::uint64_t sequence = 1)
{
    EndpointRecord result;
    result.service = "accounts";
    result.id = id;
    result.address = "10.0.0.1:" + id;
    result.bornMs = bornMs;
    result.sequence = sequence;
    return result;
}

DeploymentUpdate completeUpdate(std::vector<EndpointRecord> endpoints)
{
    DeploymentUpdate update;
    update.complete = true;
    update.endpoints = std::move(endpoints);
    return update;
}

std::string ids(const DeploymentView &view)
{
    std::string result;
    for (const auto &endpoint : view.endpoints()) {
        result += endpoint.id + " ";
    }
    return result;
}

std::shared_ptr<const DeploymentDocument> documentOf(std::uint64_t version)
{
    DeploymentDocument document;
    document.version = version;
    return std::make_shared<const DeploymentDocument>(document);
}

} // namespace

// Guards against returning to an older document after a control host has fallen behind.
Test(deploymentView, neverReturnsToAnOlderDocument)
{
    DeploymentView view{retention};
    cr_assert(!view.document());
    cr_assert(view.adoptDocument(documentOf(7)));
    cr_assert(!view.adoptDocument(documentOf(6)));
    cr_assert(!view.adoptDocument(documentOf(7)));
    cr_assert(view.document()->version == 7);
    cr_assert(view.adoptDocument(documentOf(8)));
}

// Guards against a delayed heartbeat from one control host that overrides a newer one from another.
Test(deploymentView, theNewestRecordOfAnEndpointIsUsed)
{
    DeploymentView view{retention};
    cr_assert(view.applyUpdate("a", completeUpdate({record("1", 5, 9)}), start).endpoints);
    cr_assert(!view.applyUpdate("b", completeUpdate({record("1", 5, 8)}), start).endpoints);
    cr_assert(!view.applyUpdate("b", completeUpdate({record("1", 4, 99)}), start).endpoints);
    cr_assert(view.endpoints().front().sequence == 9);
    cr_assert(view.applyUpdate("b", completeUpdate({record("1", 6, 1)}), start).endpoints);
    cr_assert(view.endpoints().front().bornMs == 6);
}

// Guards against using an endpoint that has left because a control host that lags behind lists it
// again.
Test(deploymentView, aGoneIncarnationDoesNotReturn)
{
    DeploymentView view{retention};
    (void)view.applyUpdate("a", completeUpdate({record("1", 5), record("2", 5)}), start);
    (void)view.applyUpdate("b", completeUpdate({record("1", 5)}), start);
    DeploymentUpdate update;
    update.gone = {EndpointGone{"1", 5}, EndpointGone{"2", 4}};
    cr_assert(view.applyUpdate("a", update, start).endpoints);
    cr_assert(ids(view) == "2 ", "an older incarnation that is gone does not remove a later one");
    cr_assert(!view.applyUpdate("b", completeUpdate({record("1", 5, 77)}), start).endpoints);
    cr_assert(view.applyUpdate("b", completeUpdate({record("1", 6)}), start).endpoints);
    cr_assert(ids(view) == "1 2 ");
}

// Guards against permanently losing a live endpoint whose heartbeats one control host missed for a
// while, after that control host receives them again or is disconnected.
Test(deploymentView, anEndpointListedAgainReturns)
{
    DeploymentView view{retention};
    (void)view.applyUpdate("a", completeUpdate({record("1")}), start);
    (void)view.applyUpdate("b", completeUpdate({record("1")}), start);
    DeploymentUpdate gone;
    gone.gone = {EndpointGone{"1", 1}};
    DeploymentUpdate heartbeat;
    heartbeat.endpoints = {record("1", 1, 9)};
    cr_assert(view.applyUpdate("a", gone, start).endpoints);
    cr_assert(view.applyUpdate("a", heartbeat, start).endpoints);
    cr_assert(ids(view) == "1 ");
    (void)view.applyUpdate("a", gone, start);
    cr_assert(view.handleDisconnect("a", start).endpoints, "b still lists it");
    cr_assert(ids(view) == "1 ");
    (void)view.applyUpdate("a", completeUpdate({}), start);
    (void)view.applyUpdate("a", gone, start);
    (void)view.applyUpdate("b", gone, start);
    cr_assert(!view.handleDisconnect("a", start).endpoints);
    cr_assert(ids(view).empty());
    (void)view.applyUpdate("b", heartbeat, start);
    cr_assert(ids(view) == "1 ");
}

// Guards against using an endpoint that has left again when a control host restarts and lists it
// from its data folder, because it was down, or was killed soon afterwards, when the endpoint left.
Test(deploymentView, aRestartedControlHostDoesNotBringBackAnEndpointThatHasLeft)
{
    DeploymentView view{retention};
    for (const auto *host : {"a", "b", "c"}) {
        (void)view.applyUpdate(host, completeUpdate({record("1"), record("2")}), start);
    }
    DeploymentUpdate gone;
    gone.gone = {EndpointGone{"1", 1}};
    for (const auto *host : {"a", "b", "c"}) {
        (void)view.applyUpdate(host, gone, start);
    }
    cr_assert(ids(view) == "2 ");
    (void)view.handleDisconnect("c", start);
    (void)view.applyUpdate("c", completeUpdate({record("1"), record("2")}), start);
    cr_assert(ids(view) == "2 ");
    // A later incarnation is not affected.
    (void)view.applyUpdate("c", completeUpdate({record("1", 2), record("2")}), start);
    cr_assert(ids(view) == "1 2 ");
}

// Guards against endpoints that stay listed forever although every control host has dropped them.
Test(deploymentView, dropsEndpointsThatNoLiveControlHostLists)
{
    DeploymentView view{retention};
    (void)view.applyUpdate("a", completeUpdate({record("1"), record("2")}), start);
    (void)view.applyUpdate("b", completeUpdate({record("1")}), start);
    cr_assert(ids(view) == "1 2 ");
    cr_assert(view.applyUpdate("a", completeUpdate({}), start).endpoints);
    cr_assert(ids(view) == "1 ");
}

// Guards against an entry host that drops all endpoints because the control hosts are down, or
// because they have just restarted and have not received heartbeats yet.
Test(deploymentView, keepsEndpointsWhileControlHostsRestart)
{
    DeploymentView view{retention};
    (void)view.applyUpdate("a", completeUpdate({record("1"), record("2")}), start);
    cr_assert(!view.handleDisconnect("a", start).endpoints);
    cr_assert(!view.nextDeadline());
    const auto later = start + std::chrono::hours{1};
    cr_assert(!view.expireRetained(later).endpoints);
    cr_assert(!view.applyUpdate("a", completeUpdate({}), later).endpoints);
    cr_assert(ids(view) == "1 2 ");
    DeploymentUpdate update;
    update.endpoints = {record("1", 1, 2)};
    (void)view.applyUpdate("a", update, later + std::chrono::seconds{1});
    cr_assert(view.nextDeadline() == later + retention);
    cr_assert(!view.expireRetained(later + retention - Duration{1}).endpoints);
    cr_assert(view.expireRetained(later + retention).endpoints);
    cr_assert(ids(view) == "1 ");
}

// Guards against keeping endpoints that only a disconnected control host listed although another
// one is live.
Test(deploymentView, dropsEndpointsThatOnlyADisconnectedControlHostListed)
{
    DeploymentView view{retention};
    (void)view.applyUpdate("a", completeUpdate({record("1"), record("2")}), start);
    (void)view.applyUpdate("b", completeUpdate({record("1")}), start);
    (void)view.handleDisconnect("a", start);
    cr_assert(view.expireRetained(start + retention).endpoints);
    cr_assert(ids(view) == "1 ");
}

// Guards against sending statements for an ended endpoint to its successor at the same address.
Test(deploymentView, theNewerIncarnationHoldsAnAddress)
{
    DeploymentView view{retention};
    auto older = record("1", 5);
    auto younger = record("2", 6);
    older.address = younger.address;
    (void)view.applyUpdate("a", completeUpdate({younger, older}), start);
    cr_assert(ids(view) == "2 ");
}

// Guards against returning to an earlier primary because a control host reports an older promotion.
Test(deploymentView, thePrimaryWithTheHighestEpochIsUsed)
{
    DeploymentView view{retention};
    auto update = completeUpdate({});
    update.primaries = {PrimaryRecord{"accounts", "1", 3}};
    cr_assert(view.applyUpdate("a", update, start).primaries.size() == 1);
    cr_assert(view.applyUpdate("b", update, start).primaries.empty());
    update.primaries = {PrimaryRecord{"accounts", "2", 2}, PrimaryRecord{"orders", "9", 1}};
    const auto changes = view.applyUpdate("b", update, start);
    cr_assert(changes.primaries.size() == 1);
    cr_assert(changes.primaries.front().service == "orders");
}

// Guards against connection shares that are too large because one control host counts too few entry
// hosts, and against using deltas before the complete state of a connection has arrived.
Test(deploymentView, countsEntryHostsAndWaitsForTheCompleteUpdate)
{
    DeploymentView view{retention};
    DeploymentUpdate early;
    early.endpoints = {record("1")};
    early.entryHosts = 9;
    const auto ignored = view.applyUpdate("a", early, start);
    cr_assert(!ignored.endpoints && !ignored.entryHosts);
    auto update = completeUpdate({});
    update.entryHosts = 4;
    update.controlHosts = {"10.0.0.8"};
    cr_assert(view.applyUpdate("a", update, start).entryHosts);
    update.entryHosts = 2;
    cr_assert(!view.applyUpdate("b", update, start).entryHosts);
    cr_assert(view.entryHosts() == 4);
    cr_assert(view.handleDisconnect("a", start).entryHosts);
    cr_assert(view.entryHosts() == 2);
    cr_assert(view.isControlHostListed("10.0.0.8"));
    (void)view.handleDisconnect("b", start);
    cr_assert(view.entryHosts() == 2);
    view.forget("a");
    view.forget("b");
    cr_assert(!view.isControlHostListed("10.0.0.8"));
}
