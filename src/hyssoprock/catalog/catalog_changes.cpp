#include <algorithm>
#include <utility>

#include <hyssoprock/catalog/catalog.hpp>
#include <hyssoprock/catalog/change_rules.hpp>

/// @file
/// @brief Changes of operators and announcements of endpoints.

namespace hyssoprock {

namespace {

template <class List, class Value, class Less>
void insertSorted(List &list, Value value, Less less)
{
    list.insert(std::upper_bound(list.begin(), list.end(), value, less), std::move(value));
}

CatalogResult refusal(const Error &error)
{
    CatalogResult result;
    result.answer.kind = error.kind;
    result.answer.detail = error.detail;
    return result;
}

bool ruleLess(const RecordKindRule &left, const RecordKindRule &right)
{
    return std::pair{left.group, left.kind} < std::pair{right.group, right.kind};
}

} // namespace

CatalogResult Catalog::applyBody(const OperatorChange &change)
{
    CatalogResult result;
    auto &answer = result.answer;
    if (!isValidName(change.changeId)) {
        answer.kind = ErrorKind::InvalidValue;
        answer.detail = "the change ID must consist of letters, digits, '_', '-' or '.'";
        answer.revision = configuration_.revision;
        return result;
    }
    if (const auto found = changeById_.find(change.changeId); found != changeById_.end()) {
        if (found->second.change == change) {
            answer = found->second.answer;
        } else {
            answer.kind = ErrorKind::RevisionConflict;
            answer.winner = change.changeId;
            answer.revision = configuration_.revision;
            answer.detail = "the change ID was used by " + found->second.change.operatorName
                            + " for another change";
        }
        return result;
    }
    const auto conflict = checkBaseRevision(change, answer.winner);
    const auto checked =
        std::visit([this](const auto &body) { return checkChange(*this, body); }, change.change);
    if (conflict.kind != ErrorKind::None) {
        answer.kind = conflict.kind;
        answer.detail = conflict.detail;
    } else if (checked.has_error()) {
        answer.kind = checked.error().kind;
        answer.detail = checked.error().detail;
    } else {
        ++configuration_.revision;
        std::visit([&](const auto &body) { this->change(body, result); }, change.change);
        result.configurationChanged = true;
    }
    answer.revision = configuration_.revision;
    recordChange(change, answer);
    return result;
}

Error Catalog::checkBaseRevision(const OperatorChange &change, std::string &winner) const
{
    if (change.baseRevision == configuration_.revision) {
        return {};
    }
    if (change.baseRevision > configuration_.revision) {
        return {ErrorKind::RevisionConflict,
                "the change is based on a revision that does not exist"};
    }
    if (const auto found = changeByRevision_.find(change.baseRevision + 1);
        found != changeByRevision_.end()) {
        winner = found->second;
    } else if (!changeByRevision_.empty()) {
        winner = changeByRevision_.rbegin()->second;
    }
    return {ErrorKind::RevisionConflict,
            "the change is based on revision " + std::to_string(change.baseRevision)
                + ", but the present one is " + std::to_string(configuration_.revision)};
}

void Catalog::change(const DeclareGroup &body, CatalogResult &result)
{
    const auto less = [](const DeclareGroup &left, const DeclareGroup &right) {
        return left.group < right.group;
    };
    std::erase_if(configuration_.groups,
                  [&](const DeclareGroup &known) { return known.group == body.group; });
    insertSorted(configuration_.groups, body, less);
    if (group(body.group) == nullptr) {
        auto &record = groups_[body.group];
        record.view.group = body.group;
        record.view.state = GroupState::Forming;
        advanceVersion(record, result);
    }
}

void Catalog::change(const DeclareRecordKind &body, CatalogResult &)
{
    auto rule = body.rule;
    rule.revision = configuration_.revision;
    std::erase_if(configuration_.rules, [&](const RecordKindRule &known) {
        return known.group == rule.group && known.kind == rule.kind;
    });
    insertSorted(configuration_.rules, std::move(rule), ruleLess);
}

void Catalog::change(const RemoveRecordKind &body, CatalogResult &)
{
    std::erase_if(configuration_.rules, [&](const RecordKindRule &known) {
        return known.group == body.group && known.kind == body.kind;
    });
}

void Catalog::change(const PlanStop &body, CatalogResult &result)
{
    insertSorted(configuration_.stops, body.endpoint, std::less<>{});
    member(body.endpoint)->state = EndpointState::Draining;
    advanceVersion(*group(groupByEndpoint_.find(body.endpoint)->second), result);
}

void Catalog::change(const CancelStop &body, CatalogResult &result)
{
    std::erase(configuration_.stops, body.endpoint);
    member(body.endpoint)->state = EndpointState::Active;
    advanceVersion(*group(groupByEndpoint_.find(body.endpoint)->second), result);
}

CatalogResult Catalog::applyBody(const RecordEndpoint &command)
{
    const auto &announcement = command.announcement;
    if (auto checked = checkAnnouncement(*this, announcement); checked.has_error()) {
        return refusal(checked.error());
    }
    auto &record = *group(announcement.group);
    if (auto *known = member(announcement.endpoint); known != nullptr) {
        known->announcement = announcement;
    } else {
        groupByEndpoint_.emplace(announcement.endpoint, announcement.group);
        insertSorted(record.view.members, Member{announcement, false, EndpointState::Active},
                     [](const Member &left, const Member &right) {
                         return left.announcement.endpoint < right.announcement.endpoint;
                     });
    }
    CatalogResult result;
    advanceVersion(record, result);
    return result;
}

} // namespace hyssoprock
