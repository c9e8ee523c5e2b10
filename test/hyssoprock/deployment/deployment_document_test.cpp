#include <chrono>

#include <criterion/criterion.h>

#include <hyssoprock/deployment/deployment_document.hpp>

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
