#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <hyssoprock/deployment/deployment_document.hpp>

/// @file
/// @brief Index of the routes of a document by database.

namespace hyssoprock {

/// @brief Finds the same routes as findRoute(), in logarithmic time.
class RouteIndex
{
public:
    /// @brief Creates an empty index.
    RouteIndex() = default;
    /// @brief Creates an index of a document and keeps the document alive.
    /// @param document Document to index; must not be null.
    explicit RouteIndex(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Finds the route of a database.
    /// @param database Database that the caller connects to.
    /// @return Route, valid for the lifetime of the index; null if there is none.
    [[nodiscard]] const Route *find(std::string_view database) const;

private:
    std::shared_ptr<const DeploymentDocument> document_{};
    std::vector<const Route *> routes_{}; ///< One for each database, sorted by database.
};

} // namespace hyssoprock
