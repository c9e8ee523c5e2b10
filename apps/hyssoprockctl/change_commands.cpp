#include <algorithm>
#include <array>
#include <cstdio>
#include <ostream>
#include <random>

#include <absl/flags/flag.h>

#include <hyssoprock/core/error_kind.hpp>
#include <hyssoprock/daemon/operator/status_report.hpp>

#include "commands.hpp"
#include "flags.hpp"

ABSL_FLAG(std::string, change_id, "",
          "id of the change; generated unless given. Give the same id to send a change again");
ABSL_FLAG(std::string, base, "", "revision that the change is based on; default: the present one");
ABSL_FLAG(bool, follow, false, "wait until the change is in force everywhere");
ABSL_FLAG(std::uint32_t, instances, 3, "declare-group: instances that form the group");
ABSL_FLAG(std::uint64_t, max_age_ms, 0, "declare-kind: oldest data that a read may see");
ABSL_FLAG(bool, replicas, true, "declare-kind: whether replicas may serve reads");
ABSL_FLAG(
    std::vector<std::string>, versions, {"1"},
    "declare-kind: schema versions, each N[:TERM/INDEX][:ro]; complete from the position, "
    "from the start if it is left out, or not yet complete with N:incomplete; a version with ro "
    "and without a position is not complete, since new records need not appear in it");

namespace hyssoprock {

namespace {

std::optional<LogPosition> parsePosition(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto term = parseNumber(text.substr(0, slash));
    const auto index = parseNumber(text.substr(slash + 1));
    return term && index ? std::optional{LogPosition{*term, *index}} : std::nullopt;
}

std::optional<VersionRule> parseVersion(std::string text)
{
    VersionRule rule;
    rule.writable = true;
    std::vector<std::string> parts;
    for (std::size_t colon = 0; colon != std::string::npos;) {
        colon = text.find(':');
        parts.push_back(text.substr(0, colon));
        text = colon == std::string::npos ? "" : text.substr(colon + 1);
    }
    const auto number = parseNumber(parts[0]);
    if (!number || *number > UINT32_MAX) {
        return std::nullopt;
    }
    rule.version = static_cast<std::uint32_t>(*number);
    bool incomplete = false;
    for (std::size_t i = 1; i < parts.size(); ++i) {
        if (parts[i] == "ro") {
            rule.writable = false;
        } else if (parts[i] == "incomplete") {
            incomplete = true;
        } else if (const auto position = parsePosition(parts[i])) {
            rule.completeFrom = position;
        } else {
            return std::nullopt;
        }
    }
    // New records need not appear in a read-only version, so it is complete only if the operator
    // gives a position.
    if (!rule.completeFrom && !incomplete && rule.writable) {
        rule.completeFrom = LogPosition{};
    }
    return rule;
}

/// The id has 128 random bits, so that ids of different operators do not collide.
std::string generateChangeId()
{
    std::random_device random;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        std::array<char, 9> part{};
        std::snprintf(part.data(), part.size(), "%08x", static_cast<unsigned>(random()));
        id += part.data();
    }
    return id;
}

int sendChange(const Console &console, OperatorClient &client,
               decltype(OperatorChange::change) body)
{
    OperatorChange change;
    change.changeId = absl::GetFlag(FLAGS_change_id);
    if (change.changeId.empty()) {
        change.changeId = generateChangeId();
    }
    change.operatorName = absl::GetFlag(FLAGS_operator_name);
    change.change = std::move(body);
    if (const auto base = absl::GetFlag(FLAGS_base); !base.empty()) {
        const auto revision = parseNumber(base);
        if (!revision) {
            return usageError(console, "--base must be a number");
        }
        change.baseRevision = *revision;
    } else {
        const auto status = client.status("");
        if (status.has_error()) {
            return fail(console, status.error());
        }
        change.baseRevision = status.value().configuration.revision;
    }
    OperatorRequest request;
    request.change = change;
    const auto response = client.change(request);
    if (response.has_error()) {
        // Resending with another base revision would be a different change and end in a conflict.
        console.error << "the outcome is unknown; send the change again with --change_id="
                      << change.changeId << " --base=" << change.baseRevision << "\n";
        return fail(console, response.error());
    }
    const auto &result = response.value();
    if (absl::GetFlag(FLAGS_json)) {
        console.out << toJson(change.changeId, result) << "\n";
    } else if (result.kind == ErrorKind::None) {
        console.out << "accepted as revision " << result.revision << ", change id "
                    << change.changeId << "\n";
    } else {
        console.error << describe(result.kind).text << ": " << result.detail
                      << (result.winner.empty() ? "" : ", winner ") << result.winner << "\n";
    }
    if (result.kind == ErrorKind::None && absl::GetFlag(FLAGS_follow)) {
        return follow(console, client, result.revision);
    }
    return describe(result.kind).exitStatus;
}

int changeControl(const Console &console, OperatorClient &client, const std::string &host, bool add)
{
    OperatorRequest request;
    request.controlHosts = ChangeControlHosts{host, add};
    const auto response = client.change(request);
    if (response.has_error()) {
        return fail(console, response.error());
    }
    if (response.value().kind != ErrorKind::None) {
        return fail(console, Error{response.value().kind, response.value().detail});
    }
    if (absl::GetFlag(FLAGS_json)) {
        console.out << toJson("", response.value()) << "\n";
    } else {
        console.out << (add ? "added" : "removed") << " control host " << host << "\n";
    }
    return 0;
}

} // namespace

int declareGroup(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    return sendChange(console, client, DeclareGroup{arguments[0], absl::GetFlag(FLAGS_instances)});
}

int declareKind(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    RecordKindRule rule;
    rule.group = arguments[0];
    rule.kind = arguments[1];
    rule.maxAgeMs = absl::GetFlag(FLAGS_max_age_ms);
    rule.replicasAllowed = absl::GetFlag(FLAGS_replicas);
    for (const auto &text : absl::GetFlag(FLAGS_versions)) {
        const auto version = parseVersion(text);
        if (!version) {
            return usageError(console, "--versions: \"" + text + "\" is malformed");
        }
        rule.versions.push_back(*version);
    }
    std::sort(rule.versions.begin(), rule.versions.end(),
              [](const auto &a, const auto &b) { return a.version < b.version; });
    return sendChange(console, client, DeclareRecordKind{rule});
}

int removeKind(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    return sendChange(console, client, RemoveRecordKind{arguments[0], arguments[1]});
}

int planStop(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    return sendChange(console, client, PlanStop{arguments[0]});
}

int cancelStop(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    return sendChange(console, client, CancelStop{arguments[0]});
}

int addControl(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    return changeControl(console, client, arguments[0], true);
}

int removeControl(const Console &console, OperatorClient &client, const Arguments &arguments)
{
    return changeControl(console, client, arguments[0], false);
}

} // namespace hyssoprock
