#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <exception>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <hyssoprock/daemon/operator_client.hpp>
#include <hyssoprock/daemon/status_report.hpp>

#include "flag_check.hpp"

ABSL_FLAG(std::vector<std::string>, control, {}, "control hosts as name=IP:port,...");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, change_id, "",
          "id of the change; generated unless given. Give the same id to send a change again");
ABSL_FLAG(std::string, base, "", "revision that the change is based on; default: the present one");
ABSL_FLAG(std::string, operator_name, "operator", "who asks");
ABSL_FLAG(std::uint32_t, timeout_ms, 10000, "time after which a request is given up");
ABSL_FLAG(bool, follow, false, "wait until the change is in force everywhere");
ABSL_FLAG(std::uint32_t, instances, 3, "declare-group: instances that form the group");
ABSL_FLAG(std::uint64_t, max_age_ms, 0, "declare-kind: oldest data that a read may see");
ABSL_FLAG(bool, replicas, true, "declare-kind: whether replicas may serve reads");
ABSL_FLAG(
    std::vector<std::string>, versions, {"1"},
    "declare-kind: schema versions, each N[:TERM/INDEX][:ro]; complete from the position, "
    "from the start if it is left out, or not yet complete with N:incomplete; a version with ro "
    "and without a position is not complete, since new records need not appear in it");

namespace {

using namespace hyssoprock;

constexpr int exitUsage = 2;
constexpr const char *usageText =
    "operator tool of hyssoprock\n\n"
    "  hyssoprockctl --control name=IP:port,... COMMAND\n\n"
    "  declare-group GROUP [--instances N]\n"
    "  declare-kind GROUP KIND [--max_age_ms N] [--replicas] [--versions 1,2:3/17:ro]\n"
    "  remove-kind GROUP KIND\n"
    "  plan-stop ENDPOINT\n"
    "  cancel-stop ENDPOINT\n"
    "  add-control HOST\n"
    "  remove-control HOST\n"
    "  status [GROUP]\n"
    "  follow REVISION\n\n"
    "exit status: 0 done, 2 usage, 3 refused, 4 conflict, 5 unreachable\n";

using Arguments = std::vector<std::string>;

int fail(const Error &error)
{
    const auto &answer = describe(error.kind);
    if (absl::GetFlag(FLAGS_json)) {
        std::printf("{\"result\": %s, \"detail\": %s}\n", jsonText(answer.name).c_str(),
                    jsonText(error.detail).c_str());
    } else {
        std::fprintf(stderr, "%s: %s\n", std::string{answer.text}.c_str(), error.detail.c_str());
    }
    return answer.exitStatus;
}

int usageError(const std::string &text)
{
    std::fprintf(stderr, "%s\n%s", text.c_str(), usageText);
    return exitUsage;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

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
    // New records no longer appear in a version that is read only, unless the operator says so.
    if (!rule.completeFrom && !incomplete && rule.writable) {
        rule.completeFrom = LogPosition{};
    }
    return rule;
}

/// Id of 128 random bits, so that two operators never choose the same one.
std::string newChangeId()
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

int follow(OperatorClient &client, std::uint64_t revision)
{
    using namespace std::chrono_literals;
    const auto start = std::chrono::steady_clock::now();
    const auto deadline = start + std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)};
    while (true) {
        const auto status = client.status("");
        if (status.has_error()) {
            return fail(status.error());
        }
        const auto progress = progressOf(status.value(), revision);
        const bool done =
            progress.everywhere() && status.value().configuration.revision >= revision;
        const bool late = std::chrono::steady_clock::now() >= deadline;
        if (done || late) {
            if (absl::GetFlag(FLAGS_json)) {
                std::printf("%s\n", toJson(progress).c_str());
            } else if (done) {
                std::printf("revision %llu is in force at all %zu hosts\n",
                            static_cast<unsigned long long>(revision), progress.inForce);
            } else {
                for (const auto &host : progress.behind) {
                    std::printf("behind: %s\n", host.c_str());
                }
            }
            return done ? 0 : describe(ErrorKind::Unreachable).exitStatus;
        }
        std::this_thread::sleep_for(20ms);
    }
}

int sendChange(OperatorClient &client, decltype(OperatorChange::change) body)
{
    OperatorChange change;
    change.changeId = absl::GetFlag(FLAGS_change_id);
    if (change.changeId.empty()) {
        change.changeId = newChangeId();
    }
    change.operatorName = absl::GetFlag(FLAGS_operator_name);
    change.change = std::move(body);
    if (const auto base = absl::GetFlag(FLAGS_base); !base.empty()) {
        const auto revision = parseNumber(base);
        if (!revision) {
            return usageError("--base must be a number");
        }
        change.baseRevision = *revision;
    } else {
        const auto status = client.status("");
        if (status.has_error()) {
            return fail(status.error());
        }
        change.baseRevision = status.value().configuration.revision;
    }
    OperatorRequest request;
    request.change = change;
    const auto response = client.change(request);
    if (response.has_error()) {
        // With another base the resent change would count as a different one and get a conflict.
        std::fprintf(stderr,
                     "the outcome is unknown; send the change again with --change_id=%s "
                     "--base=%llu\n",
                     change.changeId.c_str(), static_cast<unsigned long long>(change.baseRevision));
        return fail(response.error());
    }
    const auto &answer = response.value();
    if (absl::GetFlag(FLAGS_json)) {
        std::printf("%s\n", toJson(change.changeId, answer).c_str());
    } else if (answer.kind == ErrorKind::None) {
        std::printf("accepted as revision %llu, change id %s\n",
                    static_cast<unsigned long long>(answer.revision), change.changeId.c_str());
    } else {
        std::fprintf(stderr, "%s: %s%s%s\n", std::string{describe(answer.kind).text}.c_str(),
                     answer.detail.c_str(), answer.winner.empty() ? "" : ", winner ",
                     answer.winner.c_str());
    }
    if (answer.kind == ErrorKind::None && absl::GetFlag(FLAGS_follow)) {
        return follow(client, answer.revision);
    }
    return describe(answer.kind).exitStatus;
}

int declareGroup(OperatorClient &client, const Arguments &arguments)
{
    return sendChange(client, DeclareGroup{arguments[0], absl::GetFlag(FLAGS_instances)});
}

int declareKind(OperatorClient &client, const Arguments &arguments)
{
    RecordKindRule rule;
    rule.group = arguments[0];
    rule.kind = arguments[1];
    rule.maxAgeMs = absl::GetFlag(FLAGS_max_age_ms);
    rule.replicasAllowed = absl::GetFlag(FLAGS_replicas);
    for (const auto &text : absl::GetFlag(FLAGS_versions)) {
        const auto version = parseVersion(text);
        if (!version) {
            return usageError("--versions: \"" + text + "\" is malformed");
        }
        rule.versions.push_back(*version);
    }
    std::sort(rule.versions.begin(), rule.versions.end(),
              [](const auto &a, const auto &b) { return a.version < b.version; });
    return sendChange(client, DeclareRecordKind{rule});
}

int removeKind(OperatorClient &client, const Arguments &arguments)
{
    return sendChange(client, RemoveRecordKind{arguments[0], arguments[1]});
}

int planStop(OperatorClient &client, const Arguments &arguments)
{
    return sendChange(client, PlanStop{arguments[0]});
}

int cancelStop(OperatorClient &client, const Arguments &arguments)
{
    return sendChange(client, CancelStop{arguments[0]});
}

int changeControl(OperatorClient &client, const std::string &host, bool add)
{
    OperatorRequest request;
    request.controlHosts = ChangeControlHosts{host, add};
    const auto response = client.change(request);
    if (response.has_error()) {
        return fail(response.error());
    }
    if (response.value().kind != ErrorKind::None) {
        return fail(Error{response.value().kind, response.value().detail});
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::printf("%s\n", toJson("", response.value()).c_str());
    } else {
        std::printf("%s control host %s\n", add ? "added" : "removed", host.c_str());
    }
    return 0;
}

int addControl(OperatorClient &client, const Arguments &arguments)
{
    return changeControl(client, arguments[0], true);
}

int removeControl(OperatorClient &client, const Arguments &arguments)
{
    return changeControl(client, arguments[0], false);
}

int status(OperatorClient &client, const Arguments &arguments)
{
    const auto answer = client.status(arguments.empty() ? "" : arguments[0]);
    if (answer.has_error()) {
        return fail(answer.error());
    }
    const auto text =
        absl::GetFlag(FLAGS_json) ? toJson(answer.value()) + "\n" : describe(answer.value());
    std::printf("%s", text.c_str());
    return 0;
}

int followRevision(OperatorClient &client, const Arguments &arguments)
{
    const auto revision = parseNumber(arguments[0]);
    return revision ? follow(client, *revision) : usageError("the revision must be a number");
}

struct Command
{
    std::string_view name;
    std::size_t least;
    std::size_t most;
    int (*run)(OperatorClient &, const Arguments &);
};

constexpr std::array commands{
    Command{"declare-group", 1, 1, &declareGroup},   Command{"declare-kind", 2, 2, &declareKind},
    Command{"remove-kind", 2, 2, &removeKind},       Command{"plan-stop", 1, 1, &planStop},
    Command{"cancel-stop", 1, 1, &cancelStop},       Command{"add-control", 1, 1, &addControl},
    Command{"remove-control", 1, 1, &removeControl}, Command{"status", 0, 1, &status},
    Command{"follow", 1, 1, &followRevision},
};

int run(const std::vector<char *> &words)
{
    if (words.size() < 2) {
        return usageError("a command is needed");
    }
    std::vector<NamedAddress> hosts;
    for (const auto &text : absl::GetFlag(FLAGS_control)) {
        auto host = parseNamedAddress(text);
        if (host.has_error()) {
            return usageError("--control: " + host.error().detail);
        }
        hosts.push_back(std::move(host.value()));
    }
    if (hosts.empty()) {
        return usageError("--control is needed");
    }
    OperatorClient client{std::move(hosts), absl::GetFlag(FLAGS_operator_name),
                          std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)}};
    const Arguments arguments{words.begin() + 2, words.end()};
    for (const auto &command : commands) {
        if (command.name == words[1]) {
            if (arguments.size() < command.least || arguments.size() > command.most) {
                return usageError("wrong number of arguments");
            }
            return command.run(client, arguments);
        }
    }
    return usageError("unknown command \"" + std::string{words[1]} + "\"");
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText);
    if (const auto error = findFlagError(argc, argv)) {
        return usageError(*error);
    }
    try {
        return run(absl::ParseCommandLine(argc, argv));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return describe(ErrorKind::Unreachable).exitStatus;
    }
}
