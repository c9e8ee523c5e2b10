#include <hyssoprock/catalog/change_rules.hpp>

#include <algorithm>
#include <string>

namespace hyssoprock {

namespace {

bool isNameCharacter(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_'
           || c == '-' || c == '.';
}

bool isAddress(std::string_view address) noexcept
{
    return !address.empty() && address.size() <= nameBytesMax
           && std::all_of(address.begin(), address.end(), [](char c) {
                  return isNameCharacter(c) || c == ':' || c == '[' || c == ']';
              });
}

Result<void> checkName(std::string_view name, std::string_view what)
{
    if (isValidName(name)) {
        return Result<void>{BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>};
    }
    return failure(ErrorKind::InvalidValue, std::string{what} + " must have 1 to "
                                                + std::to_string(nameBytesMax)
                                                + " letters, digits, '_', '-' or '.'");
}

Result<void> success()
{
    return Result<void>{BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>};
}

const VersionRule *findVersion(const RecordKindRule &rule, std::uint32_t version)
{
    const auto found =
        std::find_if(rule.versions.begin(), rule.versions.end(),
                     [&](const VersionRule &entry) { return entry.version == version; });
    return found == rule.versions.end() ? nullptr : &*found;
}

Result<void> checkVersions(const RecordKindRule &rule)
{
    if (rule.versions.empty()) {
        return failure(ErrorKind::InvalidValue, "a record kind needs at least one schema version");
    }
    const auto unsorted = std::adjacent_find(rule.versions.begin(), rule.versions.end(),
                                             [](const VersionRule &left, const VersionRule &right) {
                                                 return left.version >= right.version;
                                             });
    if (unsorted != rule.versions.end()) {
        return failure(ErrorKind::InvalidValue, "schema versions must be sorted and unique");
    }
    return success();
}

Result<void> checkRemovedVersions(const RecordKindRule &before, const RecordKindRule *after)
{
    for (const auto &old : before.versions) {
        if (old.writable && (after == nullptr || findVersion(*after, old.version) == nullptr)) {
            return failure(ErrorKind::Refused, "schema version " + std::to_string(old.version)
                                                   + " is still writable; end its writes first");
        }
    }
    return success();
}

const RecordKindRule *findRule(const Configuration &configuration, std::string_view group,
                               std::string_view kind)
{
    const auto found = std::find_if(
        configuration.rules.begin(), configuration.rules.end(),
        [&](const RecordKindRule &rule) { return rule.group == group && rule.kind == kind; });
    return found == configuration.rules.end() ? nullptr : &*found;
}

} // namespace

bool isValidName(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= nameBytesMax
           && std::all_of(name.begin(), name.end(), isNameCharacter);
}

Result<void> checkChange(const Catalog &, const DeclareGroup &body)
{
    if (auto named = checkName(body.group, "a group's name"); named.has_error()) {
        return named;
    }
    if (body.instances == 0 || body.instances > instancesMax) {
        return failure(ErrorKind::InvalidValue,
                       "a group has 1 to " + std::to_string(instancesMax) + " instances");
    }
    return success();
}

Result<void> checkChange(const Catalog &catalog, const DeclareRecordKind &body)
{
    const auto &rule = body.rule;
    if (auto named = checkName(rule.kind, "a record kind's name"); named.has_error()) {
        return named;
    }
    if (catalog.findGroup(rule.group) == nullptr) {
        return failure(ErrorKind::UnknownGroup, "no group " + rule.group);
    }
    if (auto versions = checkVersions(rule); versions.has_error()) {
        return versions;
    }
    const auto *before = findRule(catalog.configuration(), rule.group, rule.kind);
    return before == nullptr ? success() : checkRemovedVersions(*before, &rule);
}

Result<void> checkChange(const Catalog &catalog, const RemoveRecordKind &body)
{
    const auto *before = findRule(catalog.configuration(), body.group, body.kind);
    if (before == nullptr) {
        return failure(ErrorKind::Refused, "no record kind " + body.kind + " in " + body.group);
    }
    return checkRemovedVersions(*before, nullptr);
}

Result<void> checkChange(const Catalog &catalog, const PlanStop &body)
{
    const auto *member = catalog.findMember(body.endpoint);
    if (member == nullptr) {
        return failure(ErrorKind::Refused, "no endpoint " + body.endpoint);
    }
    if (member->state != EndpointState::Active) {
        return failure(ErrorKind::Refused, body.endpoint + " has a planned stop already");
    }
    const auto &members = catalog.groupOf(body.endpoint)->view.members;
    const auto voters = std::count_if(members.begin(), members.end(),
                                      [](const Member &other) { return other.voter; });
    const auto staying = std::count_if(members.begin(), members.end(), [&](const Member &other) {
        return other.voter && other.state == EndpointState::Active
               && other.announcement.endpoint != body.endpoint;
    });
    if (member->voter && staying <= voters / 2) {
        return failure(ErrorKind::Refused,
                       "the stop would leave less than a majority of the group in service");
    }
    return success();
}

Result<void> checkChange(const Catalog &catalog, const CancelStop &body)
{
    const auto *member = catalog.findMember(body.endpoint);
    if (member == nullptr) {
        return failure(ErrorKind::Refused, "no endpoint " + body.endpoint);
    }
    if (member->state == EndpointState::Active) {
        return failure(ErrorKind::Refused, body.endpoint + " has no planned stop");
    }
    return success();
}

Result<void> checkAnnouncement(const Catalog &catalog, const Announcement &announcement)
{
    if (auto named = checkName(announcement.endpoint, "an endpoint's name"); named.has_error()) {
        return named;
    }
    if (!isAddress(announcement.address)) {
        return failure(ErrorKind::InvalidValue, "an endpoint's address must be IP number and port");
    }
    if (catalog.findGroup(announcement.group) == nullptr) {
        return failure(ErrorKind::UnknownGroup, "no group " + announcement.group);
    }
    const auto *known = catalog.findMember(announcement.endpoint);
    if (known == nullptr) {
        return success();
    }
    if (known->announcement.group != announcement.group) {
        return failure(ErrorKind::Refused,
                       announcement.endpoint + " belongs to " + known->announcement.group);
    }
    if (announcement.incarnation < known->announcement.incarnation) {
        return failure(ErrorKind::Refused, "the announcement is older than the known one");
    }
    if (announcement == known->announcement) {
        return failure(ErrorKind::Refused, "the announcement is already known");
    }
    return success();
}

} // namespace hyssoprock
