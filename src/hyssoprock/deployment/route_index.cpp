#include <hyssoprock/deployment/route_index.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace hyssoprock {

RouteIndex::RouteIndex(std::shared_ptr<const DeploymentDocument> document)
    : document_{std::move(document)}
{
    routes_.reserve(document_->routes.size());
    for (const auto &route : document_->routes) {
        routes_.push_back(&route);
    }
    // The routes are in document order, so the first of equal ones stays in front.
    std::stable_sort(routes_.begin(), routes_.end(), [](const Route *left, const Route *right) {
        return std::tuple{std::string_view{left->database}, left->pathPrefix.size()}
               < std::tuple{std::string_view{right->database}, right->pathPrefix.size()};
    });
    routes_.erase(std::unique(routes_.begin(), routes_.end(),
                              [](const Route *left, const Route *right) {
                                  return left->database == right->database;
                              }),
                  routes_.end());
}

const Route *RouteIndex::find(std::string_view database) const
{
    const auto found = std::lower_bound(
        routes_.begin(), routes_.end(), database,
        [](const Route *route, std::string_view name) { return route->database < name; });
    return found != routes_.end() && (*found)->database == database ? *found : nullptr;
}

} // namespace hyssoprock
