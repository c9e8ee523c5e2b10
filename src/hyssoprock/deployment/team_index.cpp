#include <hyssoprock/deployment/team_index.hpp>

#include <utility>

namespace hyssoprock {

TeamIndex::TeamIndex(std::shared_ptr<const DeploymentDocument> document)
    : document_{std::move(document)}
{
    for (const auto &team : document_->teams) {
        for (const auto &key : team.keys) {
            teams_.emplace(key, &team);
        }
    }
}

const Team *TeamIndex::find(std::string_view key) const
{
    const auto found = teams_.find(key);
    return found == teams_.end() ? nullptr : found->second;
}

} // namespace hyssoprock
