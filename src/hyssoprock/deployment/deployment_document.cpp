#include <hyssoprock/deployment/deployment_document.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace hyssoprock {

namespace {

Result<void> validateTeams(const std::vector<Team> &teams)
{
    std::set<std::string_view> names;
    std::map<std::string_view, std::string_view> owners;
    for (const auto &team : teams) {
        // Endpoints are told the name as one word.
        if (team.name.empty() || team.name.find_first_of(" \t\r\n") != std::string::npos) {
            return failure(ErrorKind::InvalidValue,
                           "team name \"" + team.name + "\" is empty or contains white space");
        }
        if (!names.insert(team.name).second) {
            return failure(ErrorKind::InvalidValue, "duplicate team \"" + team.name + "\"");
        }
        for (const auto &key : team.keys) {
            if (key.empty()) {
                return failure(ErrorKind::InvalidValue,
                               "team \"" + team.name + "\" has an empty key");
            }
            // The text does not contain the key, because it is written to logs.
            if (const auto [owner, added] = owners.emplace(key, team.name);
                !added && owner->second != team.name) {
                return failure(ErrorKind::InvalidValue, "teams \"" + std::string{owner->second}
                                                            + "\" and \"" + team.name
                                                            + "\" share a key");
            }
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

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
    return validateTeams(document.teams);
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
