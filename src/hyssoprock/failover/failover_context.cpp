#include <hyssoprock/failover/failover_context.hpp>

#include <algorithm>

namespace hyssoprock {

const Member *findMember(const GroupView &view, std::string_view endpoint) noexcept
{
    const auto found =
        std::find_if(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.announcement.endpoint == endpoint;
        });
    return found == view.members.end() ? nullptr : &*found;
}

std::vector<VoterAddress> voterAddresses(const GroupView &view)
{
    std::vector<VoterAddress> voters;
    for (const auto &member : view.members) {
        if (member.voter) {
            voters.push_back({member.announcement.endpoint, member.announcement.address});
        }
    }
    return voters;
}

std::size_t voterCount(const GroupView &view) noexcept
{
    return static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(),
                      [](const Member &member) { return member.voter; }));
}

std::uint32_t declaredInstances(const Catalog &catalog, std::string_view group)
{
    const auto &groups = catalog.configuration().groups;
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const DeclareGroup &known) {
        return known.group == group;
    });
    return found == groups.end() ? 0 : found->instances;
}

} // namespace hyssoprock
