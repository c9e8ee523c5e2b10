#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <hyssoprock/deployment/deployment_document.hpp>

/// @file
/// @brief Routes of a document by database.

namespace hyssoprock {

/// @brief Finds the same routes as findRoute() in logarithmic time.
class RouteIndex
{
public:
    /// @brief Knows no route.
    RouteIndex() = default;
    /// @brief Indexes a document and keeps it.
    /// @param document Not null.
    explicit RouteIndex(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Route of a database.
    /// @param database Name of the database.
    /// @return The route, valid as long as the index, or null; see findRoute().
    [[nodiscard]] const Route *find(std::string_view database) const;

private:
    std::shared_ptr<const DeploymentDocument> document_{};
    std::vector<const Route *> routes_{}; ///< One for each database, sorted by it.
};

} // namespace hyssoprock
