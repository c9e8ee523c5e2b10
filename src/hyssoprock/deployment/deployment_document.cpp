#include <hyssoprock/deployment/deployment_document.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace hyssoprock {

Result<void> validate(const DeploymentDocument &document)
{
    std::set<std::string_view> services;
    for (const auto &service : document.services) {
        services.insert(service.name);
    }
    std::set<std::pair<std::string_view, std::string_view>> keys;
    for (const auto &route : document.routes) {
        if (!services.contains(route.service)) {
            return failure(ErrorKind::InvalidValue, "route \"" + route.name
                                                        + "\" refers to the unknown service \""
                                                        + route.service + "\"");
        }
        if (!keys.emplace(route.database, route.pathPrefix).second) {
            return failure(ErrorKind::InvalidValue, "duplicate route for database \""
                                                        + route.database + "\" and path prefix \""
                                                        + route.pathPrefix + "\"");
        }
        if (route.statementTimeout <= Duration::zero()) {
            return failure(ErrorKind::InvalidValue,
                           "route \"" + route.name + "\" has a statement timeout of zero");
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

const Route *findRoute(const DeploymentDocument &document, std::string_view database)
{
    const Route *found = nullptr;
    for (const auto &route : document.routes) {
        if (route.database == database
            && (found == nullptr || route.pathPrefix.size() < found->pathPrefix.size())) {
            found = &route;
        }
    }
    return found;
}

const Service *findService(const DeploymentDocument &document, std::string_view name)
{
    const auto found = std::find_if(document.services.begin(), document.services.end(),
                                    [&](const Service &service) { return service.name == name; });
    return found == document.services.end() ? nullptr : &*found;
}

} // namespace hyssoprock
