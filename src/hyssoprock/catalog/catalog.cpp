#include <hyssoprock/catalog/catalog.hpp>

#include <algorithm>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

template <class Members>
auto findMemberIn(Members &members, std::string_view endpoint)
{
    return std::find_if(members.begin(), members.end(), [&](const Member &member) {
        return member.announcement.endpoint == endpoint;
    });
}

} // namespace

CatalogResult Catalog::apply(const CatalogCommand &command, std::uint64_t logIndex)
{
    check(logIndex > appliedIndex_, "commands are applied once and in log order");
    appliedIndex_ = logIndex;
    auto result = std::visit([this](const auto &body) { return applyBody(body); }, command.body);
    std::sort(result.changedGroups.begin(), result.changedGroups.end());
    return result;
}

std::string Catalog::encodeSnapshot() const
{
    CatalogSnapshot snapshot;
    snapshot.appliedIndex = appliedIndex_;
    snapshot.viewVersion = viewVersion_;
    snapshot.configuration = configuration_;
    for (const auto &[name, record] : groups_) {
        snapshot.groups.push_back(record);
    }
    snapshot.changes.assign(recordedChanges_.begin(), recordedChanges_.end());
    return encode(snapshot);
}

Result<void> Catalog::restoreSnapshot(std::string_view bytes)
{
    auto decoded = decode<CatalogSnapshot>(bytes);
    if (decoded.has_error()) {
        return failure(decoded.error().kind, decoded.error().detail);
    }
    const auto &snapshot = decoded.value();
    Catalog restored;
    restored.appliedIndex_ = snapshot.appliedIndex;
    restored.viewVersion_ = snapshot.viewVersion;
    restored.configuration_ = snapshot.configuration;
    for (const auto &record : snapshot.groups) {
        restored.groups_.emplace(record.view.group, record);
        restored.groupByVersion_.emplace(record.view.version, record.view.group);
        for (const auto &known : record.view.members) {
            restored.groupByEndpoint_.emplace(known.announcement.endpoint, record.view.group);
        }
    }
    for (const auto &entry : snapshot.changes) {
        restored.indexChange(entry);
    }
    *this = std::move(restored);
    return Result<void>{BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>};
}

const GroupRecord *Catalog::findGroup(std::string_view name) const noexcept
{
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second;
}

const GroupRecord *Catalog::groupOf(std::string_view endpoint) const noexcept
{
    const auto found = groupByEndpoint_.find(endpoint);
    return found == groupByEndpoint_.end() ? nullptr : findGroup(found->second);
}

const Member *Catalog::findMember(std::string_view name) const noexcept
{
    const auto *record = groupOf(name);
    if (record == nullptr) {
        return nullptr;
    }
    const auto found = findMemberIn(record->view.members, name);
    return found == record->view.members.end() ? nullptr : &*found;
}

std::vector<GroupView> Catalog::viewsAfter(std::uint64_t version) const
{
    std::vector<GroupView> views;
    for (auto it = groupByVersion_.upper_bound(version); it != groupByVersion_.end(); ++it) {
        views.push_back(findGroup(it->second)->view);
    }
    return views;
}

GroupRecord *Catalog::group(std::string_view name) noexcept
{
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second;
}

Member *Catalog::member(std::string_view name) noexcept
{
    const auto groupName = groupByEndpoint_.find(name);
    if (groupName == groupByEndpoint_.end()) {
        return nullptr;
    }
    auto &members = groups_.find(groupName->second)->second.view.members;
    return &*findMemberIn(members, name);
}

void Catalog::advanceVersion(GroupRecord &record, CatalogResult &result)
{
    groupByVersion_.erase(record.view.version);
    record.view.version = ++viewVersion_;
    groupByVersion_.emplace(record.view.version, record.view.group);
    result.changedGroups.push_back(record.view.group);
}

void Catalog::indexChange(const RememberedChange &entry)
{
    recordedChanges_.push_back(entry);
    changeById_.emplace(entry.change.changeId, entry);
    if (entry.answer.kind == ErrorKind::None) {
        changeByRevision_.emplace(entry.answer.revision, entry.change.changeId);
    }
}

void Catalog::recordChange(const OperatorChange &change, const OperatorResponse &answer)
{
    indexChange(RememberedChange{change, answer});
    while (recordedChanges_.size() > rememberedChangesMax) {
        const auto &oldest = recordedChanges_.front();
        if (oldest.answer.kind == ErrorKind::None) {
            changeByRevision_.erase(oldest.answer.revision);
        }
        changeById_.erase(oldest.change.changeId);
        recordedChanges_.pop_front();
    }
}

} // namespace hyssoprock
