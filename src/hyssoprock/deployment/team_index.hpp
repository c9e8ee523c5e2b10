#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>

#include <hyssoprock/deployment/deployment_document.hpp>

/// @file
/// @brief Index of the teams of a document by key.

namespace hyssoprock {

/// @brief Finds the team that holds a key, in constant time.
class TeamIndex
{
public:
    /// @brief Creates an empty index.
    TeamIndex() = default;
    /// @brief Creates an index of a document and keeps the document alive.
    /// @param document Document to index; must not be null.
    explicit TeamIndex(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Finds the team that holds a key.
    /// @return Team, valid for the lifetime of the index; null if no team holds the key.
    [[nodiscard]] const Team *find(std::string_view key) const;

    /// @brief Whether the document has no teams, so that callers need no key.
    [[nodiscard]] bool empty() const noexcept { return !document_ || document_->teams.empty(); }

private:
    std::shared_ptr<const DeploymentDocument> document_{};
    std::unordered_map<std::string_view, const Team *> teams_{}; ///< By key.
};

} // namespace hyssoprock
