#include <hyssoprock/routing/schema_choice.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

bool understood(const std::vector<std::uint32_t> &versions, std::uint32_t version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

} // namespace

Result<SchemaChoice> chooseSchema(const RecordKindRule &rule,
                                  const std::vector<std::uint32_t> &understands,
                                  const std::optional<LogPosition> &position)
{
    SchemaChoice choice;
    if (rule.versions.empty()) {
        return choice;
    }
    const auto isUnderstood = [&understands](const VersionRule &version) {
        return understood(understands, version.version);
    };
    if (std::all_of(rule.versions.begin(), rule.versions.end(), isUnderstood)) {
        for (const auto &version : rule.versions) {
            choice.versions.push_back(version.version);
        }
        return choice;
    }
    const VersionRule *best = nullptr;
    for (const auto &version : rule.versions) {
        const bool complete =
            version.completeFrom.has_value() && (!position || *position >= *version.completeFrom);
        if (complete && isUnderstood(version)
            && (best == nullptr || version.version > best->version)) {
            best = &version;
        }
    }
    if (best == nullptr) {
        return failure(ErrorKind::VersionNotUnderstood, "record kind " + rule.kind);
    }
    choice.versions.push_back(best->version);
    choice.completeFrom = *best->completeFrom;
    return choice;
}

ErrorKind checkWritable(const RecordKindRule &rule, const std::optional<std::uint32_t> &version)
{
    const auto allowed = [&version](const VersionRule &candidate) {
        return candidate.writable && (!version || candidate.version == *version);
    };
    const bool accepted = version
                              ? std::any_of(rule.versions.begin(), rule.versions.end(), allowed)
                              : std::all_of(rule.versions.begin(), rule.versions.end(), allowed);
    return accepted ? ErrorKind::None : ErrorKind::VersionNotWritable;
}

std::string toSetting(const SchemaChoice &choice)
{
    std::string text;
    for (const auto version : choice.versions) {
        text += (text.empty() ? "" : ",") + std::to_string(version);
    }
    return text;
}

} // namespace hyssoprock
