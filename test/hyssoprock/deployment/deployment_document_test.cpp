#include <chrono>

#include <criterion/criterion.h>

#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/deployment/team_index.hpp>

using namespace hyssoprock;

namespace {

Route routeOf(std::string name, std::string database, std::string prefix, std::string service)
{
    Route route;
    route.name = std::move(name);
    route.database = std::move(database);
    route.pathPrefix = std::move(prefix);
    route.service = std::move(service);
    route.statementTimeout = std::chrono::seconds{1};
    return route;
}

DeploymentDocument sampleDocument()
{
    DeploymentDocument document;
    document.version = 3;
    document.routes = {routeOf("r-1", "orders", "/archive", "cold"),
                       routeOf("r-2", "orders", "/", "warm"),
                       routeOf("r-3", "people", "/", "warm")};
    document.services = {Service{"warm", 30, 0}, Service{"cold", 5, 1}};
    return document;
}

} // namespace

// Guards against rejecting a valid document, for example because two databases have the same
// prefix.
Test(deploymentDocument, aValidDocumentIsAccepted)
{
    cr_assert(validate(sampleDocument()).has_value());
    cr_assert(validate(DeploymentDocument{}).has_value());
}

// Guards against a route to a service that does not exist.
Test(deploymentDocument, aRouteToAnUnknownServiceIsRejected)
{
    auto document = sampleDocument();
    document.routes[1].service = "hot";
    const auto result = validate(document);
    cr_assert(result.has_error());
    cr_assert(result.error().kind == ErrorKind::InvalidValue);
    cr_assert(result.error().detail.find("hot") != std::string::npos);
}

// Guards against two routes between which the choice would be arbitrary.
Test(deploymentDocument, twoRoutesWithTheSameKeyAreRejected)
{
    auto document = sampleDocument();
    document.routes[0].pathPrefix = "/";
    cr_assert(validate(document).error().kind == ErrorKind::InvalidValue);
}

// Guards against a route on which every statement would time out.
Test(deploymentDocument, aStatementTimeoutOfZeroIsRejected)
{
    auto document = sampleDocument();
    document.routes[2].statementTimeout = Duration::zero();
    cr_assert(validate(document).error().kind == ErrorKind::InvalidValue);
}

// Guards against a choice that depends on the order of the routes in the document.
Test(deploymentDocument, theRouteWithTheShortestPrefixIsFound)
{
    const auto document = sampleDocument();
    cr_assert(findRoute(document, "orders")->name == "r-2");
    cr_assert(findRoute(document, "people")->name == "r-3");
    cr_assert(findRoute(document, "order") == nullptr);
    cr_assert(findService(document, "cold")->connectionsMax == 5);
    cr_assert(findService(document, "") == nullptr);
}

// Guards against a key that names no team unambiguously, and names that endpoints cannot be told.
Test(deploymentDocument, teamsHaveTheirOwnNamesAndKeys)
{
    auto document = sampleDocument();
    document.teams = {Team{"lab", {"k1", "k2"}, 0, 10, 5}, Team{"design", {"k3", "k3"}, 1, 0, 0}};
    cr_assert(validate(document).has_value());
    const auto rejected = [&](std::size_t index, const Team &team) {
        auto changed = document;
        changed.teams[index] = team;
        return validate(changed).has_error();
    };
    cr_assert(rejected(1, Team{"design", {"k2"}, 0, 0, 0}), "shared key");
    cr_assert(rejected(1, Team{"lab", {"k3"}, 0, 0, 0}), "shared name");
    cr_assert(rejected(0, Team{"", {"k1"}, 0, 0, 0}), "no name");
    cr_assert(rejected(0, Team{"a b", {"k1"}, 0, 0, 0}), "two words");
    cr_assert(rejected(0, Team{"lab", {""}, 0, 0, 0}), "empty key");
}

// Guards against keys that are written to logs with the reason of a rejection.
Test(deploymentDocument, aRejectionDoesNotContainTheKey)
{
    auto document = sampleDocument();
    document.teams = {Team{"lab", {"secret"}, 0, 0, 0}, Team{"design", {"secret"}, 0, 0, 0}};
    cr_assert(validate(document).error().detail.find("secret") == std::string::npos);
}

// Guards against a key that finds another team, or one that was removed.
Test(teamIndex, aKeyFindsItsTeam)
{
    auto document = sampleDocument();
    cr_assert(TeamIndex{std::make_shared<const DeploymentDocument>(document)}.empty());
    document.teams = {Team{"lab", {"k1", "k2"}, 0, 0, 0}, Team{"design", {"k3"}, 0, 0, 0}};
    const TeamIndex index{std::make_shared<const DeploymentDocument>(document)};
    cr_assert_eq(index.find("k2")->name, "lab");
    cr_assert_eq(index.find("k3")->name, "design");
    cr_assert(index.find("k") == nullptr && index.find("") == nullptr);
    cr_assert(TeamIndex{}.empty() && TeamIndex{}.find("k1") == nullptr);
}
