#include <algorithm>
#include <utility>

#include <hyssoprock/catalog/catalog.hpp>

/// @file
/// @brief Commands of the leader: members, terms, primaries and voters.

namespace hyssoprock {

namespace {

CatalogResult refusal(ErrorKind kind, std::string detail)
{
    CatalogResult result;
    result.answer.kind = kind;
    result.answer.detail = std::move(detail);
    return result;
}

CatalogResult unknownGroup(const std::string &name)
{
    return refusal(ErrorKind::UnknownGroup, "no group " + name);
}

CatalogResult rejectedInState(const GroupView &view)
{
    return refusal(ErrorKind::Refused, view.group + " is " + std::string{toString(view.state)}
                                           + " in term " + std::to_string(view.term));
}

/// Makes the first active members by name voters, up to the declared number of instances.
void selectInitialVoters(GroupView &view, std::uint32_t instances)
{
    std::uint32_t chosen = 0;
    for (auto &member : view.members) {
        member.voter = chosen < instances && member.state == EndpointState::Active;
        chosen += member.voter ? 1 : 0;
    }
}

std::uint32_t declaredInstanceCount(const Configuration &configuration, std::string_view group)
{
    const auto found =
        std::find_if(configuration.groups.begin(), configuration.groups.end(),
                     [&](const DeclareGroup &declared) { return declared.group == group; });
    return found == configuration.groups.end() ? 0 : found->instances;
}

} // namespace

CatalogResult Catalog::applyBody(const BeginTerm &command)
{
    auto *record = group(command.group);
    if (record == nullptr) {
        return unknownGroup(command.group);
    }
    auto &view = record->view;
    if (command.term != view.term + 1) {
        return rejectedInState(view);
    }
    const bool first = view.state == GroupState::Forming;
    if (first) {
        const auto instances = declaredInstanceCount(configuration_, view.group);
        const auto active =
            std::count_if(view.members.begin(), view.members.end(),
                          [](const Member &known) { return known.state == EndpointState::Active; });
        if (std::cmp_less(active, instances)) {
            return refusal(ErrorKind::Refused, "too few endpoints of " + view.group);
        }
        selectInitialVoters(view, instances);
    }
    view.state = GroupState::Electing;
    view.term = command.term;
    view.primary.clear();
    CatalogResult result;
    advanceVersion(*record, result);
    if (first) {
        record->voterVersion = view.version;
    }
    return result;
}

CatalogResult Catalog::applyBody(const SetPrimary &command)
{
    auto *record = group(command.group);
    if (record == nullptr) {
        return unknownGroup(command.group);
    }
    auto &view = record->view;
    if (view.state != GroupState::Electing || view.term != command.term || !view.primary.empty()) {
        return rejectedInState(view);
    }
    const auto *chosen = findMember(command.endpoint);
    if (chosen == nullptr || !chosen->voter || chosen->announcement.group != view.group) {
        return refusal(ErrorKind::Refused, command.endpoint + " is not a voter of " + view.group);
    }
    view.primary = command.endpoint;
    CatalogResult result;
    advanceVersion(*record, result);
    return result;
}

CatalogResult Catalog::applyBody(const ActivatePrimary &command)
{
    auto *record = group(command.group);
    if (record == nullptr) {
        return unknownGroup(command.group);
    }
    auto &view = record->view;
    if (view.state != GroupState::Electing || view.term != command.term || view.primary.empty()) {
        return rejectedInState(view);
    }
    view.state = GroupState::Active;
    record->formed = true;
    CatalogResult result;
    advanceVersion(*record, result);
    return result;
}

CatalogResult Catalog::applyBody(const BeginHandover &command)
{
    auto *record = group(command.group);
    if (record == nullptr) {
        return unknownGroup(command.group);
    }
    if (record->view.state != GroupState::Active || record->view.term != command.term) {
        return rejectedInState(record->view);
    }
    record->view.state = GroupState::Handover;
    CatalogResult result;
    advanceVersion(*record, result);
    return result;
}

CatalogResult Catalog::applyBody(const CancelHandover &command)
{
    auto *record = group(command.group);
    if (record == nullptr) {
        return unknownGroup(command.group);
    }
    if (record->view.state != GroupState::Handover || record->view.term != command.term) {
        return rejectedInState(record->view);
    }
    record->view.state = GroupState::Active;
    CatalogResult result;
    advanceVersion(*record, result);
    return result;
}

CatalogResult Catalog::applyBody(const SetVoter &command)
{
    auto *record = group(command.group);
    if (record == nullptr) {
        return unknownGroup(command.group);
    }
    const auto &view = record->view;
    if (view.state != GroupState::Active || view.term != command.term) {
        return rejectedInState(view);
    }
    auto *changed = member(command.endpoint);
    if (changed == nullptr || changed->announcement.group != view.group) {
        return refusal(ErrorKind::Refused, command.endpoint + " is not a member of " + view.group);
    }
    if (changed->voter == command.voter || command.endpoint == view.primary) {
        return refusal(ErrorKind::Refused,
                       command.endpoint + " cannot be added or removed as a voter now");
    }
    changed->voter = command.voter;
    CatalogResult result;
    advanceVersion(*record, result);
    record->voterVersion = record->view.version;
    return result;
}

CatalogResult Catalog::applyBody(const MarkStopped &command)
{
    auto *stopped = member(command.endpoint);
    if (stopped == nullptr || stopped->state != EndpointState::Draining) {
        return refusal(ErrorKind::Refused, command.endpoint + " is not draining");
    }
    auto *record = group(stopped->announcement.group);
    if (record->view.primary == command.endpoint) {
        return refusal(ErrorKind::Refused, command.endpoint + " is the primary");
    }
    stopped->state = EndpointState::Stopped;
    CatalogResult result;
    advanceVersion(*record, result);
    return result;
}

} // namespace hyssoprock
